package request_test

import (
	"context"
	"net"
	"strings"
	"sync"
	"time"
)

// memNet is a network in memory whose nodes can be killed, paused, cut off and silenced.
type memNet struct {
	mu        sync.Mutex
	listeners map[string]*memListener
	conns     map[*memConn]bool
	paused    map[string]chan struct{} // closed on resume
	cuts      map[[2]string]bool
	dark      map[string]bool // nodes that answer no connection attempt
}

type unreachableError struct{ node string }

func (e *unreachableError) Error() string { return e.node + " unreachable" }

func newMemNet() *memNet {
	return &memNet{
		listeners: make(map[string]*memListener),
		conns:     make(map[*memConn]bool),
		paused:    make(map[string]chan struct{}),
		cuts:      make(map[[2]string]bool),
		dark:      make(map[string]bool),
	}
}

type memListener struct {
	net    *memNet
	node   string
	queue  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (n *memNet) listen(node string) *memListener {
	l := &memListener{net: n, node: node, queue: make(chan net.Conn, 1024), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[node] = l
	return l
}

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *memListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// memConn is one end of a connection.
type memConn struct {
	net.Conn
	net    *memNet
	owner  string
	peer   string
	silent *silence
	once   sync.Once
	closed chan struct{}
}

// silence is shared by both ends: once set, what either writes is lost.
type silence struct {
	mu  sync.Mutex
	set bool
}

func (s *silence) on() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set
}

func (c *memConn) Read(p []byte) (int, error) {
	c.net.waitResumed(c.owner, c.closed)
	n, err := c.Conn.Read(p)
	c.net.waitResumed(c.owner, c.closed)
	return n, err
}

func (c *memConn) Write(p []byte) (int, error) {
	c.net.waitResumed(c.owner, c.closed)
	if c.silent.on() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *memConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.net.mu.Lock()
		delete(c.net.conns, c)
		c.net.mu.Unlock()
	})
	return c.Conn.Close()
}

func (n *memNet) waitResumed(node string, closed <-chan struct{}) {
	for {
		n.mu.Lock()
		gate := n.paused[node]
		n.mu.Unlock()
		if gate == nil {
			return
		}
		select {
		case <-gate:
		case <-closed:
			return
		}
	}
}

// dialer returns the dial function of a node; addresses are node names with a port.
func (n *memNet) dialer(from string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		node, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		n.waitResumed(from, ctx.Done())
		if n.isDark(node) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return n.connect(from, node)
	}
}

func (n *memNet) connect(from, to string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.listeners[to]
	if l == nil || n.cuts[[2]string{from, to}] || n.cuts[[2]string{to, from}] {
		return nil, &unreachableError{node: to}
	}
	near, far := net.Pipe()
	shared := &silence{}
	a := &memConn{Conn: near, net: n, owner: from, peer: to, silent: shared, closed: make(chan struct{})}
	b := &memConn{Conn: far, net: n, owner: to, peer: from, silent: shared, closed: make(chan struct{})}
	n.conns[a], n.conns[b] = true, true
	l.queue <- b
	return a, nil
}

// darken makes a node answer no connection attempt from now on.
func (n *memNet) darken(node string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dark[node] = true
}

func (n *memNet) isDark(node string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dark[node]
}

// kill ends a node: its listener and all its connections.
func (n *memNet) kill(node string) {
	n.mu.Lock()
	l := n.listeners[node]
	delete(n.listeners, node)
	var dead []*memConn
	for c := range n.conns {
		if c.owner == node {
			dead = append(dead, c)
		}
	}
	n.mu.Unlock()
	if l != nil {
		_ = l.Close()
	}
	for _, c := range dead {
		_ = c.Close()
	}
}

// silenceAll makes the open connections of a node lose everything from now on.
func (n *memNet) silenceAll(node string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.owner == node {
			c.silent.mu.Lock()
			c.silent.set = true
			c.silent.mu.Unlock()
		}
	}
}

// silenceBetween makes the open connections from a node to others whose names begin with prefix lose
// everything from now on.
func (n *memNet) silenceBetween(node, prefix string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.owner == node && strings.HasPrefix(c.peer, prefix) {
			c.silent.mu.Lock()
			c.silent.set = true
			c.silent.mu.Unlock()
		}
	}
}

// pause stops a node's reads, writes and dials for d.
func (n *memNet) pause(node string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused[node] != nil {
		return
	}
	gate := make(chan struct{})
	n.paused[node] = gate
	time.AfterFunc(d, func() {
		n.mu.Lock()
		delete(n.paused, node)
		n.mu.Unlock()
		close(gate)
	})
}

// cut separates two nodes for d.
func (n *memNet) cut(a, b string, d time.Duration) {
	pair := [2]string{a, b}
	n.mu.Lock()
	n.cuts[pair] = true
	n.mu.Unlock()
	time.AfterFunc(d, func() {
		n.mu.Lock()
		delete(n.cuts, pair)
		n.mu.Unlock()
	})
}

func (n *memNet) isCut(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[[2]string{a, b}] || n.cuts[[2]string{b, a}]
}
