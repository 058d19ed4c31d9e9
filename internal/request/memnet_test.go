package request_test

import (
	"context"
	"net"
	"strings"
	"sync"
	"time"
)

// memNet is an in-memory network whose nodes can be killed, paused and partitioned and whose connections can drop
// traffic.
type memNet struct {
	mu         sync.Mutex
	listeners  map[string]*memListener
	conns      map[*memConn]bool
	paused     map[string]chan struct{} // closed on resume
	partitions map[[2]string]bool
	blackholed map[string]bool // nodes that respond to no connection attempt
}

type unreachableError struct{ node string }

func (e *unreachableError) Error() string { return e.node + " unreachable" }

func newMemNet() *memNet {
	return &memNet{
		listeners:  make(map[string]*memListener),
		conns:      make(map[*memConn]bool),
		paused:     make(map[string]chan struct{}),
		partitions: make(map[[2]string]bool),
		blackholed: make(map[string]bool),
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
	net     *memNet
	owner   string
	peer    string
	dropped *dropFlag
	once    sync.Once
	closed  chan struct{}
}

// dropFlag is shared by both ends of a connection: once set, everything that either writes is dropped.
type dropFlag struct {
	mu  sync.Mutex
	set bool
}

func (s *dropFlag) isSet() bool {
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
	if c.dropped.isSet() {
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
		if n.isBlackholed(node) {
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
	if l == nil || n.partitions[[2]string{from, to}] || n.partitions[[2]string{to, from}] {
		return nil, &unreachableError{node: to}
	}
	near, far := net.Pipe()
	shared := &dropFlag{}
	a := &memConn{Conn: near, net: n, owner: from, peer: to, dropped: shared, closed: make(chan struct{})}
	b := &memConn{Conn: far, net: n, owner: to, peer: from, dropped: shared, closed: make(chan struct{})}
	n.conns[a], n.conns[b] = true, true
	l.queue <- b
	return a, nil
}

// blackhole makes a node respond to no connection attempt from now on.
func (n *memNet) blackhole(node string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blackholed[node] = true
}

func (n *memNet) isBlackholed(node string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.blackholed[node]
}

// kill closes the listener and all connections of a node.
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

// dropTraffic makes the open connections of a node drop all traffic from now on.
func (n *memNet) dropTraffic(node string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.owner == node {
			c.dropped.mu.Lock()
			c.dropped.set = true
			c.dropped.mu.Unlock()
		}
	}
}

// dropTrafficBetween makes the open connections from a node to others whose names start with prefix drop all traffic
// from now on.
func (n *memNet) dropTrafficBetween(node, prefix string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.owner == node && strings.HasPrefix(c.peer, prefix) {
			c.dropped.mu.Lock()
			c.dropped.set = true
			c.dropped.mu.Unlock()
		}
	}
}

// pause blocks a node's reads, writes and dials for d.
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

// partition separates two nodes for d.
func (n *memNet) partition(a, b string, d time.Duration) {
	pair := [2]string{a, b}
	n.mu.Lock()
	n.partitions[pair] = true
	n.mu.Unlock()
	time.AfterFunc(d, func() {
		n.mu.Lock()
		delete(n.partitions, pair)
		n.mu.Unlock()
	})
}

func (n *memNet) isPartitioned(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitions[[2]string{a, b}] || n.partitions[[2]string{b, a}]
}
