package httpserver

import (
	"net"
	"time"

	"github.com/azureflow/azureflow/internal/memory"
)

// maxEviction bounds how long a connection that was chosen to close counts as closing. It lasts longer only if the caller
// does not take the response to what was given up.
const maxEviction = 2 * lingerTimeout

// candidate returns why and since when the connection could be closed for others; the reason is empty if it could not.
func (c *conn) candidate(now time.Time) (found candidate, isClosing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.evictedAt.IsZero() && now.Sub(c.evictedAt) < maxEviction {
		return candidate{}, true
	}
	found = candidate{conn: c, caller: c.callerIP(), bytes: c.charged.Load(), since: c.server.timeAt(c.lastRead.Load())}
	bodySince, writeSince := c.bodyReadSince.Load(), c.writeSince.Load()
	switch {
	case c.awaitsRoom.Load():
	case len(c.inFlight) == 0 && !c.isReadingHead:
		found.reason = ReasonIdle
	case len(c.inFlight) == 0:
		found.reason = ReasonPartialHead
	case bodySince != 0:
		found.reason, found.since = ReasonStalledBody, c.server.timeAt(bodySince)
	case writeSince != 0:
		found.reason, found.since = ReasonUnread, c.server.timeAt(writeSince)
	}
	return found, false
}

func (c *conn) callerIP() string {
	host, _, err := net.SplitHostPort(c.remote)
	if err != nil {
		return c.remote
	}
	return host
}

// evict closes the connection unless it has gone on since it was found to be a candidate for reason. A request whose
// body is given up is still responded to.
func (c *conn) evict(reason Reason, now time.Time) bool {
	c.mu.Lock()
	isIdle := len(c.inFlight) == 0
	matches := false
	switch reason {
	case ReasonIdle:
		matches = isIdle && !c.isReadingHead
	case ReasonPartialHead:
		matches = isIdle && c.isReadingHead
	case ReasonStalledBody:
		matches = c.bodyReadSince.Load() != 0
	case ReasonUnread:
		matches = c.writeSince.Load() != 0
	}
	if matches {
		c.evictedAt = now
	}
	if matches && reason != ReasonUnread {
		c.setReadDeadline(past)
	}
	c.mu.Unlock()
	if matches && reason == ReasonUnread {
		c.breakOff(false)
	}
	return matches
}

// giveUpSlowBody ends the body that is being read if it comes too slowly, and reports whether it did.
func (c *conn) giveUpSlowBody(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	since := c.bodyReadSince.Load()
	if since == 0 || len(c.inFlight) == 0 {
		return false
	}
	b := c.inFlight[len(c.inFlight)-1].body
	if b == nil {
		return false
	}
	waited := time.Duration(b.waited.Load()) + now.Sub(c.server.timeAt(since))
	if !isTooSlow(waited, b.received.Load()) {
		return false
	}
	c.evictedAt = now
	c.setReadDeadline(past)
	return true
}

var _ memory.Holder = (*response)(nil)

// Reserve implements memory.Holder. It does not wait beyond the deadline for reading the body.
func (w *response) Reserve(n int64) error {
	var due time.Time
	if at := w.bodyDue.Load(); at != nil {
		due = *at
	}
	if err := w.conn.server.opts.Limits.reserve(w.conn, n, due); err != nil {
		return err
	}
	w.charge(n)
	return nil
}

// TryReserve implements memory.Holder.
func (w *response) TryReserve(n int64) bool {
	if !w.conn.server.opts.Limits.tryReserve(n) {
		return false
	}
	w.charge(n)
	return true
}

// Release implements memory.Holder. After the end of the request it has no effect.
func (w *response) Release(n int64) {
	for {
		charged := w.charged.Load()
		n = min(n, charged)
		if w.charged.CompareAndSwap(charged, charged-n) {
			break
		}
	}
	w.conn.charged.Add(-n)
	w.conn.server.opts.Limits.release(n)
}

func (w *response) charge(n int64) {
	w.charged.Add(n)
	w.conn.charged.Add(n)
}
