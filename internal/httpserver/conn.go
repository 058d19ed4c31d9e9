package httpserver

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	readBufferBytes = 4 << 10
	// lingerTimeout bounds how long a connection that is closed with requests or a body unread takes in what still
	// arrives: closing it at once would reset it, and the caller might not get the last response.
	lingerTimeout = 500 * time.Millisecond
)

// past is a deadline that interrupts reads.
var past = time.Unix(1, 0)

// conn is a connection of a caller. One goroutine reads its requests; workers handle them.
type conn struct {
	server *Server
	raw    net.Conn
	remote string
	reader *bufio.Reader // owned by the reading goroutine, or by the body of the request in flight
	ctx    context.Context
	cancel context.CancelFunc

	work    chan *response // to idle workers
	workers sync.WaitGroup
	changed chan struct{} // capacity 1: a request in flight has ended
	held    atomic.Int64  // bytes of responses that wait for their turn

	charged       atomic.Int64 // bytes that its requests hold, see Limits
	bufferCharged int64        // of the read buffer, beyond that of a new connection; owned by the reading goroutine
	lastRead      atomic.Int64 // when bytes last came, ticks
	bodyReadSince atomic.Int64 // since when the next bytes of a body are waited for, ticks; 0: they are not
	writeSince    atomic.Int64 // since when a write waits for the caller, ticks; 0: none does
	awaitsRoom    atomic.Bool  // nothing is read for want of memory

	mu            sync.Mutex
	inFlight      []*response // in the order of their requests
	isReadingHead bool
	isWaiting     bool      // the reading goroutine waits for a request in flight
	isClosing     bool      // no further request is accepted
	lingers       bool      // the caller may still send when the connection closes
	evictedAt     time.Time // when it was chosen to close for others; zero: it was not, or has taken a request since
}

func newConn(s *Server, raw net.Conn) *conn {
	c := &conn{server: s, raw: raw, work: make(chan *response), changed: make(chan struct{}, 1)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	c.lastRead.Store(s.ticks(time.Now()))
	if addr := raw.RemoteAddr(); addr != nil {
		c.remote = addr.String()
	}
	return c
}

// Read implements io.Reader for the buffered reader of the connection.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.raw.Read(p)
	if n > 0 {
		now := time.Now()
		c.lastRead.Store(c.server.ticks(now))
		c.server.lastRead.Store(now.UnixNano())
	}
	return n, err
}

// serve reads requests until the connection ends.
func (c *conn) serve() {
	defer c.end()
	for c.awaitHead() {
		r, headCharged, err := c.readRequest()
		if err != nil {
			c.rejectHead(err)
			return
		}
		w := newResponse(c, r)
		w.charge(headCharged)
		if !c.admit(w) {
			w.releaseCharged()
			return
		}
		c.dispatch(w)
		if w.body != nil {
			<-w.body.done
		}
		if r.Close || !r.ProtoAtLeast(1, 1) {
			_ = c.waitUntil(func() bool { return len(c.inFlight) == 0 })
			return
		}
	}
}

// end waits for the requests in flight and closes the connection.
func (c *conn) end() {
	close(c.work)
	c.workers.Wait()
	c.cancel()
	c.linger()
	_ = c.raw.Close()
	c.server.opts.Limits.release(c.bufferCharged)
	c.server.removeConn(c)
}

// linger takes in what the caller still sends, if it may not have read the last response yet.
func (c *conn) linger() {
	c.mu.Lock()
	needed := c.isClosing && (c.lingers || c.reader.Buffered() > 0)
	c.mu.Unlock()
	half, ok := c.raw.(interface{ CloseWrite() error })
	if !needed || !ok || half.CloseWrite() != nil {
		return
	}
	c.setReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, c.raw)
}

func (c *conn) setReadDeadline(t time.Time) { _ = c.raw.SetReadDeadline(t) }

// awaitHead waits for the first byte of the next request. It returns false if the connection ends.
func (c *conn) awaitHead() bool {
	for {
		if !c.startAwaiting() {
			return false
		}
		c.shrinkBuffer()
		_, err := c.reader.Peek(1)
		if err == nil {
			return c.startHead()
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.cancel() // the caller has left
			return false
		}
		c.mu.Lock()
		isOver := c.isClosing || len(c.inFlight) == 0
		c.mu.Unlock()
		if isOver {
			return false
		}
	}
}

// startAwaiting sets the deadline for the next request. It returns false if no further one is accepted.
func (c *conn) startAwaiting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isReadingHead = false
	switch {
	case c.isClosing || !c.evictedAt.IsZero():
		return false
	case len(c.inFlight) > 0:
		c.setReadDeadline(time.Time{})
	default:
		c.setReadDeadline(time.Now().Add(c.server.callerLimits().IdleTimeout))
	}
	return true
}

// startHead sets the deadline for the rest of the head. It returns false if no further request is accepted.
func (c *conn) startHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosing {
		return false
	}
	c.isReadingHead, c.evictedAt = true, time.Time{}
	c.setReadDeadline(time.Now().Add(c.server.callerLimits().HeadTimeout))
	return true
}

// rejectHead responds to a head that is no valid request, after the responses to the requests before it. If the caller
// has left, the requests in flight end instead.
func (c *conn) rejectHead(err error) {
	rejected := requestErrorOf(err)
	if rejected == nil {
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.cancel()
		}
		return
	}
	r := &http.Request{Method: http.MethodGet, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Close: true, Body: http.NoBody}
	w := newResponse(c, r)
	w.rejected = rejected
	if c.waitUntil(func() bool { return len(c.inFlight) == 0 }) == nil && c.admit(w) {
		c.dispatch(w)
		_ = c.waitUntil(func() bool { return len(c.inFlight) == 0 })
	}
}

// admit waits until the request may run and adds it to those in flight. It returns false if it is not accepted: the
// connection closes, or the caller has left.
func (c *conn) admit(w *response) bool {
	w.runsAhead = w.body == nil && w.rejected == nil && c.server.opts.RunsAhead(w.request)
	accepted := false
	err := c.waitUntil(func() bool {
		switch {
		case c.isClosing:
			return true
		case len(c.inFlight) == 0:
		case !c.hasRoomAhead(w) || !c.server.reserveAhead():
			return false
		default:
			w.hasAheadPlace, w.turn, c.lingers = true, make(chan struct{}), true
		}
		c.isReadingHead, c.evictedAt = false, time.Time{}
		c.inFlight = append(c.inFlight, w)
		accepted = true
		return true
	})
	return err == nil && accepted
}

// hasRoomAhead reports whether w may run beside the requests in flight: all must be idempotent.
func (c *conn) hasRoomAhead(w *response) bool {
	if !w.runsAhead || len(c.inFlight) >= c.server.opts.MaxInFlight {
		return false
	}
	return !slices.ContainsFunc(c.inFlight, func(other *response) bool { return !other.runsAhead })
}

// waitUntil waits until isMet, which is called with the lock held, returns true after a request in flight ended. Bytes
// that the caller sends meanwhile stay buffered. Errors: those of reading if the caller leaves; the requests in flight
// are then canceled.
func (c *conn) waitUntil(isMet func() bool) error {
	for {
		c.mu.Lock()
		c.isWaiting = !isMet()
		c.setReadDeadline(time.Time{})
		waits := c.isWaiting
		c.mu.Unlock()
		if !waits {
			return nil
		}
		_, err := c.reader.Peek(c.reader.Buffered() + 1)
		switch {
		case err == nil || errors.Is(err, os.ErrDeadlineExceeded):
		case errors.Is(err, bufio.ErrBufferFull):
			<-c.changed
		default:
			c.cancel()
			return err
		}
	}
}

// dispatch passes an admitted request to a worker.
func (c *conn) dispatch(w *response) {
	select {
	case c.work <- w:
	default:
		c.workers.Go(func() {
			for ; w != nil; w = <-c.work {
				c.handle(w)
			}
		})
	}
}

// handle runs the handler and completes the response.
func (c *conn) handle(w *response) {
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	defer c.complete(w)
	defer func() {
		if p := recover(); p != nil {
			if p != http.ErrAbortHandler {
				c.server.opts.Log.WithFields(logrus.Fields{"panic": p, "stack": string(debug.Stack())}).Error("handler panicked")
			}
			w.abort()
		}
	}()
	if w.rejected != nil {
		w.writeRejection()
	} else {
		c.server.opts.Handler.ServeHTTP(w, w.request.WithContext(ctx))
	}
	w.finish()
}

// complete removes a request from those in flight. The response to the next one may then be written.
func (c *conn) complete(w *response) {
	w.release()
	w.releaseCharged()
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := slices.Index(c.inFlight, w); i >= 0 {
		c.inFlight = slices.Delete(c.inFlight, i, i+1)
	}
	if len(c.inFlight) > 0 && c.inFlight[0].turn != nil && !c.inFlight[0].hasTurn {
		c.inFlight[0].hasTurn = true
		close(c.inFlight[0].turn)
	}
	switch {
	case c.isClosing || c.isWaiting:
		c.setReadDeadline(past)
	case len(c.inFlight) == 0 && !c.isReadingHead:
		c.setReadDeadline(time.Now().Add(c.server.callerLimits().IdleTimeout))
	}
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// bodyRead lets the reading goroutine continue behind a body that was read completely.
func (c *conn) bodyRead(b *requestBody) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setReadDeadline(time.Time{})
	close(b.done)
}

// closeIfIdle closes the connection unless a request is in flight or partly read. Unlike closing the socket, the
// interruption lets a request that was just read get its response.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.inFlight) == 0 && !c.isReadingHead {
		c.setReadDeadline(past)
	}
}

// decideClose decides whether the connection closes after the response w, whose turn it is. It stays open if later
// requests are in flight already: those may run at a server.
func (c *conn) decideClose(w *response, isWished, isForced bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	isLast := len(c.inFlight) <= 1
	if isForced || isLast && (isWished || !c.evictedAt.IsZero() || c.server.keepAlivesDisabled.Load()) {
		c.isClosing = true
	}
	return c.isClosing
}

// breakOff closes the connection at once. All requests in flight end.
func (c *conn) breakOff(reset bool) {
	c.mu.Lock()
	c.isClosing, c.lingers = true, false
	c.mu.Unlock()
	if tcp, ok := c.raw.(interface{ SetLinger(sec int) error }); ok && reset {
		_ = tcp.SetLinger(0)
	}
	c.cancel()
	_ = c.raw.Close()
}
