package httpserver

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bufferedBodyBytes is how much of a body of unknown length is buffered: a shorter one gets a Content-Length.
	bufferedBodyBytes = 2 << 10
	maxHeldPerConn    = 1 << 20 // bytes of responses that wait for earlier ones of their connection
	// writeTimeout bounds one write: a caller that does not read holds its connection no longer than this.
	writeTimeout = 30 * time.Second
	// maxWriteBytes bounds one write, so that a caller that reads slowly is not taken for one that does not read.
	maxWriteBytes = 64 << 10
)

// response is one request of a connection and the writer of its response, which is written once it is the turn of the
// request. It implements http.ResponseWriter.
type response struct {
	conn     *conn
	request  *http.Request
	body     *requestBody  // nil if the request has none
	rejected *RequestError // the request is not handled

	runsAhead     bool          // it may run while earlier requests run, and later ones beside it
	hasAheadPlace bool          // it counts as a request that runs ahead
	turn          chan struct{} // closed once the earlier responses are written; nil: there were none
	hasTurn       bool          // turn is closed; guarded by the connection's lock

	header      http.Header
	status      int // 0 until WriteHeader
	length      int64
	written     int64                     // bytes of the body that the handler wrote
	held        []byte                    // of these, those that are not sent yet
	reserved    int                       // of the server's budget for held bytes
	charged     atomic.Int64              // bytes reserved for this request, see Limits
	bodyDue     atomic.Pointer[time.Time] // when the body is due by SetReadDeadline; nil: at any time
	headSent    bool
	isChunked   bool
	closeFramed bool // the end of the connection ends the body
	err         error
}

var _ http.ResponseWriter = (*response)(nil)

func newResponse(c *conn, r *http.Request) *response {
	w := &response{conn: c, request: r, header: make(http.Header), length: -1}
	if r.Body != nil && r.Body != http.NoBody && r.ContentLength != 0 {
		w.body = newRequestBody(c, w, r)
		r.Body = w.body
	}
	return w
}

// Header implements http.ResponseWriter.
func (w *response) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *response) WriteHeader(status int) {
	if w.status != 0 || status < http.StatusOK {
		return
	}
	w.status = status
	if n, err := strconv.ParseInt(w.header.Get("Content-Length"), 10, 64); err == nil && n >= 0 {
		w.length = n
	}
}

// SetReadDeadline limits the reading of the request's body, see http.ResponseController.
func (w *response) SetReadDeadline(t time.Time) error {
	if w.body == nil {
		return nil
	}
	w.bodyDue.Store(&t)
	w.conn.mu.Lock()
	defer w.conn.mu.Unlock()
	select {
	case <-w.body.done: // the connection's reader uses the deadline
	default:
		w.conn.setReadDeadline(t)
	}
	return nil
}

// Write implements http.ResponseWriter.
func (w *response) Write(p []byte) (int, error) {
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	if !w.allowsBody() {
		if w.request.Method == http.MethodHead {
			return len(p), nil
		}
		return 0, http.ErrBodyNotAllowed
	}
	if w.length >= 0 && w.written+int64(len(p)) > w.length {
		return 0, http.ErrContentLength
	}
	w.written += int64(len(p))
	if !w.isTurn() && w.hold(p) {
		return len(p), nil
	}
	if err := w.awaitTurn(); err != nil {
		return 0, err
	}
	if w.length < 0 && !w.headSent && len(w.held)+len(p) <= bufferedBodyBytes {
		w.held = append(w.held, p...)
		return len(p), nil
	}
	if err := w.send(p); err != nil {
		return 0, err
	}
	return len(p), nil
}

// allowsBody reports whether the response may have a body.
func (w *response) allowsBody() bool {
	return w.request.Method != http.MethodHead && w.status != http.StatusNoContent && w.status != http.StatusNotModified
}

func (w *response) isTurn() bool {
	if w.turn == nil {
		return true
	}
	select {
	case <-w.turn:
		return true
	default:
		return false
	}
}

// awaitTurn waits until the responses to the earlier requests are written. Errors: that of the connection's context.
func (w *response) awaitTurn() error {
	if w.isTurn() {
		return nil
	}
	select {
	case <-w.turn:
		return nil
	case <-w.conn.ctx.Done():
		return context.Cause(w.conn.ctx)
	}
}

// hold keeps p until the turn of the response. It returns false if the server holds too much already.
func (w *response) hold(p []byte) bool {
	if w.conn.held.Load()+int64(len(p)) > maxHeldPerConn || !w.conn.server.reserveHeld(len(p)) {
		return false
	}
	if !w.TryReserve(int64(len(p))) {
		w.conn.server.heldBytes.Add(-int64(len(p)))
		return false
	}
	w.conn.held.Add(int64(len(p)))
	w.reserved += len(p)
	w.held = append(w.held, p...)
	return true
}

// release returns what the response holds of the server's budgets.
func (w *response) release() {
	w.conn.server.heldBytes.Add(-int64(w.reserved))
	w.conn.held.Add(-int64(w.reserved))
	w.reserved = 0
	if w.hasAheadPlace {
		w.conn.server.ahead.Add(-1)
	}
}

// releaseCharged returns the memory that is still reserved for the request.
func (w *response) releaseCharged() { w.Release(w.charged.Load()) }

// writeRejection responds to a request that is not handled.
func (w *response) writeRejection() {
	w.header["Content-Length"] = []string{"0"}
	if w.rejected.RetryAfter > 0 {
		w.header["Retry-After"] = []string{strconv.FormatFloat(w.rejected.RetryAfter.Seconds(), 'f', 3, 64)}
	}
	w.WriteHeader(w.rejected.Status)
}

// writeContinue tells the caller to send the request's body.
func (w *response) writeContinue() error {
	if w.headSent {
		return nil
	}
	return w.writeAll(net.Buffers{[]byte("HTTP/1.1 100 Continue\r\n\r\n")})
}

// finish sends what is left of the response.
func (w *response) finish() {
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	err := w.awaitTurn()
	if err == nil {
		err = w.sendRest()
	}
	w.endBody(err == nil)
	if err != nil || (w.allowsBody() && w.length >= 0 && w.written < w.length) {
		w.conn.breakOff(false)
	}
}

func (w *response) sendRest() error {
	if !w.headSent {
		if w.length < 0 && w.allowsBody() {
			w.length = w.written
		}
		return w.send(nil)
	}
	if w.isChunked {
		return w.writeAll(net.Buffers{[]byte("0\r\n\r\n")})
	}
	return w.err
}

// endBody reads or gives up what the handler left of the request's body.
func (w *response) endBody(sent bool) {
	if w.body == nil {
		return
	}
	if !sent || !w.body.skip() {
		w.conn.mu.Lock()
		w.conn.isClosing, w.conn.lingers = true, true
		w.conn.mu.Unlock()
		w.body.giveUp()
	}
}

// abort closes the connection in place of the rest of the response, after the earlier responses.
func (w *response) abort() {
	_ = w.awaitTurn()
	w.conn.breakOff(w.closeFramed)
	if w.body != nil {
		w.body.giveUp()
	}
}

// headBuffers holds buffers for heads.
var headBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// send writes the head, if it was not, then the held bytes and p. The caller must have the turn.
func (w *response) send(p []byte) error {
	if w.err != nil {
		return w.err
	}
	head := headBuffers.Get().(*bytes.Buffer)
	defer headBuffers.Put(head)
	head.Reset()
	if !w.headSent {
		w.writeHead(head)
	}
	size := len(w.held) + len(p)
	if size == 0 {
		return w.writeAll(net.Buffers{head.Bytes()})
	}
	var end []byte
	if w.isChunked {
		head.WriteString(strconv.FormatInt(int64(size), 16) + "\r\n")
		end = []byte("\r\n")
	}
	const copiedBytes = 4 << 10 // smaller bodies are written with the head in one call
	if size <= copiedBytes {
		head.Write(w.held)
		head.Write(p)
		head.Write(end)
		w.held = nil
		return w.writeAll(net.Buffers{head.Bytes()})
	}
	buffers := net.Buffers{head.Bytes(), w.held, p, end}
	w.held = nil
	return w.writeAll(buffers)
}

// writeAll writes the buffers to the caller. A failed write ends all requests of the connection.
func (w *response) writeAll(b net.Buffers) error {
	for {
		first, rest := cutBuffers(b, maxWriteBytes)
		if err := w.write(first); err != nil || len(rest) == 0 {
			return err
		}
		b = rest
	}
}

// cutBuffers returns the first n bytes of b, and the rest.
func cutBuffers(b net.Buffers, n int) (first, rest net.Buffers) {
	for i, data := range b {
		if len(data) > n {
			return append(slices.Clone(b[:i]), data[:n]), append(net.Buffers{data[n:]}, b[i+1:]...)
		}
		n -= len(data)
	}
	return b, nil
}

// write writes the buffers in one call.
func (w *response) write(b net.Buffers) error {
	raw := w.conn.raw
	now := time.Now()
	_ = raw.SetWriteDeadline(now.Add(writeTimeout))
	w.conn.writeSince.Store(w.conn.server.ticks(now))
	defer w.conn.writeSince.Store(0)
	var err error
	if buffered, ok := raw.(interface {
		WriteBuffers(b *net.Buffers) (int64, error)
	}); ok && len(b) > 1 {
		_, err = buffered.WriteBuffers(&b)
	} else if len(b) == 1 {
		_, err = raw.Write(b[0])
	} else {
		_, err = b.WriteTo(raw)
	}
	if err != nil {
		w.err = err
		w.conn.cancel()
	}
	return err
}

// fields of a response that this package sets itself.
var ownFields = map[string]bool{"Connection": true, "Content-Length": true, "Transfer-Encoding": true, "Date": true}

// writeHead appends the head of the response to b and decides how its body ends.
func (w *response) writeHead(b *bytes.Buffer) {
	w.headSent = true
	isHTTP10 := !w.request.ProtoAtLeast(1, 1)
	isForced := w.request.Close || isHTTP10 || w.rejected != nil || (w.body != nil && !w.body.isSkippable())
	closes := w.conn.decideClose(w, strings.EqualFold(w.header.Get("Connection"), "close"), isForced)
	b.WriteString("HTTP/1.1 ")
	b.WriteString(strconv.Itoa(w.status))
	b.WriteByte(' ')
	b.WriteString(http.StatusText(w.status))
	b.WriteString("\r\n")
	_ = w.header.WriteSubset(b, ownFields) // a bytes.Buffer does not fail
	b.WriteString("Date: ")
	b.Write(time.Now().UTC().AppendFormat(b.AvailableBuffer(), http.TimeFormat))
	b.WriteString("\r\n")
	switch {
	case w.status == http.StatusNoContent || w.status == http.StatusNotModified && w.length < 0:
	case w.length >= 0:
		b.WriteString("Content-Length: " + strconv.FormatInt(w.length, 10) + "\r\n")
	case w.request.Method == http.MethodHead:
	case isHTTP10:
		w.closeFramed = true
	default:
		w.isChunked = true
		b.WriteString("Transfer-Encoding: chunked\r\n")
	}
	if closes {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
}

// Flush sends what the handler wrote so far, see http.Flusher.
func (w *response) Flush() {
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	if w.awaitTurn() == nil {
		_ = w.send(nil)
	}
}
