package httpserver

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// maxSkippedBodyBytes is how much of a body that the handler did not read is skipped to keep the connection.
const maxSkippedBodyBytes = 256 << 10

// requestBody is the body of a request. Reads after it was closed fail.
type requestBody struct {
	source   io.Reader
	conn     *conn
	response *response
	length   int64         // declared; -1 if unknown
	done     chan struct{} // closed once the connection's reader may continue behind the body

	waited   atomic.Int64 // nanoseconds for which reads waited for the caller
	received atomic.Int64 // bytes

	mu        sync.Mutex
	read      int64
	complete  bool  // all of it was read
	err       error // that ended it, or closed it
	continues bool  // the caller waits for a 100 response before it sends the body
}

func newRequestBody(c *conn, w *response, r *http.Request) *requestBody {
	return &requestBody{
		source: r.Body, conn: c, response: w, length: r.ContentLength, done: make(chan struct{}),
		continues: r.ProtoAtLeast(1, 1) && r.Header.Get("Expect") != "",
	}
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return 0, b.err
	}
	if b.continues {
		b.continues = false
		if err := b.response.writeContinue(); err != nil {
			b.err = err
			return 0, err
		}
	}
	n, err := b.readSource(p)
	b.read += int64(n)
	if err != nil {
		b.err = err
		if errors.Is(err, io.EOF) {
			b.complete = true
			b.conn.bodyRead(b)
		}
	}
	return n, err
}

// readSource reads from the connection and records how long the caller was waited for.
func (b *requestBody) readSource(p []byte) (int, error) {
	since := time.Now()
	b.conn.bodyReadSince.Store(b.conn.server.ticks(since))
	n, err := b.source.Read(p)
	b.conn.bodyReadSince.Store(0)
	b.waited.Add(int64(time.Since(since)))
	b.received.Add(int64(n))
	return n, err
}

// Close implements io.Closer.
func (b *requestBody) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == nil {
		b.err = http.ErrBodyReadAfterClose
	}
	return nil
}

// isSkippable reports whether what the handler left unread is known to be short and on its way, so that the connection
// can be kept. While another goroutine reads the body, it is not.
func (b *requestBody) isSkippable() bool {
	if !b.mu.TryLock() {
		return false
	}
	defer b.mu.Unlock()
	return b.complete || b.err == nil && !b.continues && b.length >= 0 && b.length-b.read <= maxSkippedBodyBytes
}

// skip reads the rest of a short body. It reports whether the body is complete.
func (b *requestBody) skip() bool {
	if !b.isSkippable() {
		return false
	}
	_, _ = io.Copy(io.Discard, b)
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.complete
}

// giveUp ends reads of the body, also one that waits for bytes, and all later ones.
func (b *requestBody) giveUp() {
	b.conn.setReadDeadline(past)
	_ = b.Close()
	select {
	case <-b.done:
	default:
		close(b.done)
	}
}
