package forward

import (
	"context"
	"net"
	"slices"
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

// acquire returns a connection to the server of to for the request with id: one that has been idle for less than limit,
// or a new one. dialed is the time that connecting took, 0 for an idle connection. Errors: *DialError.
func (p *Pool) acquire(
	ctx context.Context, to *placement.Placement, limit time.Duration, id string,
) (c *conn, dialed time.Duration, err error) {
	if c := p.takeIdle(to.Server, limit, id); c != nil {
		return c, 0, nil
	}
	start := time.Now()
	raw, err := p.dial(ctx, to.Address)
	if err != nil {
		return nil, 0, &DialError{Address: to.Address, Cause: err}
	}
	return newConn(raw), time.Since(start), nil
}

// takeIdle returns an idle connection that may carry the request with id, is alive and within its limits, nil if there
// is none. It closes those that have ended or reached a limit.
func (p *Pool) takeIdle(server placement.ServerID, limit time.Duration, id string) *conn {
	for {
		c := p.popIdle(server, id)
		if c == nil {
			return nil
		}
		if time.Since(c.idleSince) < min(limit, c.idleLimit) && c.isAlive() {
			return c
		}
		_ = c.raw.Close()
	}
}

// popIdle takes the most recently used connection that may carry the request with id, nil if there is none.
func (p *Pool) popIdle(server placement.ServerID, id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[server]
	for i := len(conns) - 1; i >= 0; i-- {
		if c := conns[i]; c.mayCarry(id) {
			p.idle[server] = slices.Delete(conns, i, i+1)
			return c
		}
	}
	return nil
}

// release returns a connection to the pool for later requests.
func (p *Pool) release(server placement.ServerID, c *conn) {
	c.idleSince, c.used = time.Now(), true
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[server] = append(p.idle[server], c)
}

// CloseExpired closes the connections that have reached their idle limit at now.
func (p *Pool) CloseExpired(now time.Time) {
	var expired []*conn
	p.mu.Lock()
	for server, conns := range p.idle {
		remaining := conns[:0]
		for _, c := range conns {
			if now.Sub(c.idleSince) < c.idleLimit {
				remaining = append(remaining, c)
			} else {
				expired = append(expired, c)
			}
		}
		if p.idle[server] = remaining; len(remaining) == 0 {
			delete(p.idle, server)
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.raw.Close()
	}
}
