package caller

import (
	"sync/atomic"
	"time"
)

// minCloseInterval is the minimum interval between two closings of the idle connections.
const minCloseInterval = time.Second

// idleCloser is a transport that can close its idle connections.
type idleCloser interface{ CloseIdleConnections() }

// connections manages the idle connections to entry VMs. When one connection is unresponsive, the idle ones may be
// unresponsive too: whatever lost the state of one connection may have lost the state of all.
type connections struct {
	idle   idleCloser   // nil: the transport cannot close idle connections
	closed atomic.Int64 // unix nanoseconds of the last closing
}

// closeIdle closes the idle connections, so that the next attempt opens a new one.
func (c *connections) closeIdle() {
	if c.idle == nil {
		return
	}
	now, last := time.Now().UnixNano(), c.closed.Load()
	if now-last < int64(minCloseInterval) || !c.closed.CompareAndSwap(last, now) {
		return
	}
	c.idle.CloseIdleConnections()
}
