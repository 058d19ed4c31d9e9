package socket

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/azureflow/azureflow/internal/clock"
)

const (
	// watchDivisor is how often a connection is looked at in the time after which the kernel closes it: a closed window
	// is seen several times before.
	watchDivisor = 5
	// closedLimit is how long a peer whose window is closed may take what is left when the connection is closed. It is
	// the time after which a response that is not taken may be given up for others.
	closedLimit = 10 * time.Second
)

// Watch distinguishes peers that do not read from peers that are gone. The kernel, with TCP_USER_TIMEOUT, closes the connections
// of both: it counts the time in which a window is closed. Watch lifts this limit while a window is closed, and closes
// the connection itself if probes of the window stay unanswered. Where the system does not report the window of
// a connection (Linux before 5.4), the kernel's limit stays.
type Watch struct {
	silentAfter time.Duration
	// reportsWindow is set once a connection showed an open window. Some systems leave the field 0, which
	// would pass for a closed one, and report nothing of probes either.
	reportsWindow atomic.Bool
	waits, ends   atomic.Uint64

	mu      sync.Mutex
	pending []*watchedConn // bytes were written and may wait
}

// NewWatch returns a Watch of connections on which TCP_USER_TIMEOUT is silentAfter.
func NewWatch(silentAfter time.Duration) *Watch { return &Watch{silentAfter: silentAfter} }

// Waits returns how often the limit was lifted since a window was closed, and Ends how many connections were closed since
// the probes of a window stayed unanswered.
func (w *Watch) Waits() uint64 { return w.waits.Load() }

// Ends is described at Waits.
func (w *Watch) Ends() uint64 { return w.ends.Load() }

// Conn returns the new connection c, watched while Run runs. Only what is written to the returned connection counts.
func (w *Watch) Conn(c net.Conn) net.Conn {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return c
	}
	if !w.reportsWindow.Load() {
		if f, err := readFigures(raw); err != nil || !w.canWatch(&f) {
			return c
		}
	}
	return &watchedConn{Conn: tcp, tcp: tcp, raw: raw, watch: w}
}

// Listener returns l, whose connections are watched.
func (w *Watch) Listener(l net.Listener) net.Listener {
	if tcp, ok := l.(*net.TCPListener); ok {
		return &watchedListener{TCPListener: tcp, watch: w}
	}
	return l
}

// Run watches connections until ctx ends.
func (w *Watch) Run(ctx context.Context) {
	for clock.Sleep(ctx, w.silentAfter/watchDivisor) == nil {
		w.sweep(time.Now())
	}
}

// canWatch reports whether the system reports enough, given the figures of a new connection. The window of that is open.
func (w *Watch) canWatch(f *Figures) bool {
	if f.Window > 0 && !w.reportsWindow.Load() {
		w.reportsWindow.Store(true)
	}
	return w.reportsWindow.Load()
}

func (w *Watch) sweep(now time.Time) {
	w.mu.Lock()
	conns := w.pending
	w.pending = nil
	w.mu.Unlock()
	for _, c := range conns {
		c.isPending.Store(false)
		if c.check(now) {
			c.enlist()
		}
	}
}

type watchedListener struct {
	*net.TCPListener
	watch *Watch
}

// Accept implements net.Listener.
func (l *watchedListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	return l.watch.Conn(c), nil
}

// watchedConn is a TCP connection of a Watch. It hides the methods of TCP connections that write past Write.
type watchedConn struct {
	net.Conn
	tcp       *net.TCPConn
	raw       syscall.RawConn
	watch     *Watch
	writes    atomic.Int32 // in progress
	isPending atomic.Bool  // listed by the Watch

	mu       sync.Mutex
	window   window
	isClosed bool
}

// Write implements io.Writer.
func (c *watchedConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	c.enlist()
	n, err := c.tcp.Write(p)
	c.writes.Add(-1)
	c.enlist()
	return n, err
}

// WriteBuffers writes b with as few system calls as b.WriteTo to a TCP connection.
func (c *watchedConn) WriteBuffers(b *net.Buffers) (int64, error) {
	c.writes.Add(1)
	c.enlist()
	n, err := b.WriteTo(c.tcp)
	c.writes.Add(-1)
	c.enlist()
	return n, err
}

// SyscallConn implements syscall.Conn.
func (c *watchedConn) SyscallConn() (syscall.RawConn, error) { return c.raw, nil }

// CloseWrite ends the sending side.
func (c *watchedConn) CloseWrite() error { return c.tcp.CloseWrite() }

// SetLinger is that of net.TCPConn.
func (c *watchedConn) SetLinger(sec int) error { return c.tcp.SetLinger(sec) }

// Close implements net.Conn. What a peer has not read yet it may read for closedLimit.
func (c *watchedConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isClosed {
		c.isClosed = true
		if f, err := readFigures(c.raw); err == nil {
			if f.isClosed() {
				_ = setAckLimit(c.raw, closedLimit)
			} else if c.window.lifted {
				_ = setAckLimit(c.raw, c.watch.silentAfter)
			}
		}
	}
	return c.tcp.Close()
}

func (c *watchedConn) enlist() {
	if !c.isPending.CompareAndSwap(false, true) {
		return
	}
	c.watch.mu.Lock()
	c.watch.pending = append(c.watch.pending, c)
	c.watch.mu.Unlock()
}

// check does what the window of the peer calls for. It returns whether the connection is to be watched further.
func (c *watchedConn) check(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed {
		return false
	}
	f, err := readFigures(c.raw)
	if err != nil {
		return false
	}
	switch c.window.next(&f, now, c.watch.silentAfter) {
	case lift:
		c.watch.waits.Add(1)
		if setAckLimit(c.raw, 0) == nil {
			_ = setProbeInterval(c.raw, c.watch.silentAfter)
		}
	case restore:
		_ = setAckLimit(c.raw, c.watch.silentAfter)
	case end:
		c.watch.ends.Add(1)
		c.isClosed = true
		_ = c.tcp.SetLinger(0)
		_ = c.tcp.Close()
		return false
	}
	return f.isOutstanding() || c.writes.Load() > 0
}
