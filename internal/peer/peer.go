// Package peer carries the calls between entry VMs over drpc.
package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// dialTimeout limits the time to connect to a peer.
const dialTimeout = time.Second

// UnreachableError reports a peer to which no connection could be made; the call had no effect.
type UnreachableError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return "peer " + e.Address + " unreachable: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// Serve handles calls on l with server until ctx ends. It returns a non-nil error, or nil after ctx ends.
func Serve(ctx context.Context, l net.Listener, server DRPCPeerServer) error {
	mux := drpcmux.New()
	if err := DRPCRegisterPeer(mux, server); err != nil {
		return err
	}
	return drpcserver.New(mux).Serve(ctx, l)
}

// Dialer opens a connection to a peer address.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Pool keeps idle connections to peers. A connection carries one call at a time and is closed if the call fails.
type Pool struct {
	dial Dialer

	mu    sync.Mutex
	idle  map[string][]*drpcconn.Conn
	limit int
}

// NewPool returns a Pool that dials with dial, by default over TCP.
func NewPool(dial Dialer) *Pool {
	if dial == nil {
		dial = dialTCP
	}
	const idlePerPeer = 4 // connections
	return &Pool{dial: dial, idle: make(map[string][]*drpcconn.Conn), limit: idlePerPeer}
}

// Call runs fn with a client of the peer at address. Errors: *UnreachableError if no connection was
// made, else the error of fn.
func (p *Pool) Call(ctx context.Context, address string, fn func(DRPCPeerClient) error) error {
	conn, err := p.acquireConn(ctx, address)
	if err != nil {
		return err
	}
	if err := fn(NewDRPCPeerClient(conn)); err != nil {
		_ = conn.Close()
		return err
	}
	p.releaseConn(address, conn)
	return nil
}

// Close closes every idle connection.
func (p *Pool) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.idle {
		for _, c := range conns {
			_ = c.Close()
		}
		delete(p.idle, address)
	}
	return nil
}

func (p *Pool) acquireConn(ctx context.Context, address string) (*drpcconn.Conn, error) {
	if c := p.popIdleConn(address); c != nil {
		return c, nil
	}
	raw, err := p.dial(ctx, address)
	if err != nil {
		return nil, &UnreachableError{Address: address, Cause: err}
	}
	return drpcconn.New(raw), nil
}

func (p *Pool) popIdleConn(address string) *drpcconn.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conns := p.idle[address]; len(conns) > 0; conns = p.idle[address] {
		c := conns[len(conns)-1]
		p.idle[address] = conns[:len(conns)-1]
		select {
		case <-c.Closed():
		default:
			return c
		}
	}
	return nil
}

func (p *Pool) releaseConn(address string, c *drpcconn.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= p.limit {
		_ = c.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", address)
}
