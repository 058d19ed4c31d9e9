package forward

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/azureflow/azureflow/internal/placement"
)

// Pool keeps the idle connections to servers.
type Pool struct {
	dial func(ctx context.Context, address string) (net.Conn, error)

	mu   sync.Mutex
	idle map[placement.ServerID][]*conn // most recently used last
}

// NewPool returns a Pool that opens connections with dial.
func NewPool(dial func(ctx context.Context, address string) (net.Conn, error)) *Pool {
	return &Pool{dial: dial, idle: make(map[placement.ServerID][]*conn)}
}

// get returns a connection to the server of p: an idle one, used within limit, or a new one. dialed is the time
// that connecting took, 0 for an idle one. Errors: *DialError.
func (p *Pool) get(ctx context.Context, to *placement.Placement, limit time.Duration) (c *conn, dialed time.Duration, err error) {
	if c := p.take(to.Server, limit); c != nil {
		return c, 0, nil
	}
	start := time.Now()
	raw, err := p.dial(ctx, to.Address)
	if err != nil {
		return nil, 0, &DialError{Address: to.Address, Cause: err}
	}
	return newConn(raw), time.Since(start), nil
}

func (p *Pool) take(server placement.ServerID, limit time.Duration) *conn {
	for {
		c := p.pop(server)
		if c == nil {
			return nil
		}
		if time.Since(c.idleSince) < min(limit, c.idleLimit) && c.alive() {
			return c
		}
		_ = c.raw.Close()
	}
}

func (p *Pool) pop(server placement.ServerID) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[server]
	if len(conns) == 0 {
		return nil
	}
	last := conns[len(conns)-1]
	p.idle[server] = conns[:len(conns)-1]
	return last
}

// put keeps a connection for later requests.
func (p *Pool) put(server placement.ServerID, c *conn) {
	c.idleSince, c.used = time.Now(), true
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[server] = append(p.idle[server], c)
}

// CloseExpired closes connections that were idle for too long.
func (p *Pool) CloseExpired(now time.Time) {
	var old []*conn
	p.mu.Lock()
	for server, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.Sub(c.idleSince) < c.idleLimit {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		if p.idle[server] = kept; len(kept) == 0 {
			delete(p.idle, server)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		_ = c.raw.Close()
	}
}
