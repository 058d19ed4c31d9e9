package caller

import (
	"sync/atomic"
	"time"
)

// suspectInterval is the least time between two closings of the idle connections.
const suspectInterval = time.Second

// idleCloser is a transport that can close its idle connections.
type idleCloser interface{ CloseIdleConnections() }

// connections are the open connections to entry VMs. When one is silent, the idle ones may be so too:
// whatever lost track of one may have lost all.
type connections struct {
	idle   idleCloser   // nil: the transport cannot
	closed atomic.Int64 // unix nanoseconds of the last closing
}

// suspect closes the idle connections, so that the next sending makes a new one.
func (c *connections) suspect() {
	if c.idle == nil {
		return
	}
	now, last := time.Now().UnixNano(), c.closed.Load()
	if now-last < int64(suspectInterval) || !c.closed.CompareAndSwap(last, now) {
		return
	}
	c.idle.CloseIdleConnections()
}
