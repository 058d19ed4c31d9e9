package request

import (
	"io"
	"sync"
	"sync/atomic"
)

// replayBytes is how much of a request body is buffered so that a later attempt can send it again.
const replayBytes = 32 << 10

// bodySource is the body of a caller's request, read by one attempt after another. It buffers the first replayBytes
// bytes; once more have been read, no further attempt can be made.
type bodySource struct {
	mu       sync.Mutex
	r        io.Reader
	buffered []byte // everything read so far, or nil once that exceeds replayBytes
	total    int    // bytes read from r
	err      error  // error of r, io.EOF at its end
}

// newBodySource returns a bodySource that reads r, or nil if there is no body.
func newBodySource(r io.Reader) *bodySource {
	if r == nil {
		return nil
	}
	return &bodySource{r: r}
}

// isReplayable reports whether another attempt could send the complete body. It never waits for the caller.
func (s *bodySource) isReplayable() bool {
	if s == nil {
		return true
	}
	if !s.mu.TryLock() {
		return false
	}
	defer s.mu.Unlock()
	return len(s.buffered) == s.total
}

// hasFailed reports whether reading the caller's body failed.
func (s *bodySource) hasFailed() bool {
	if s == nil || !s.mu.TryLock() {
		return false
	}
	defer s.mu.Unlock()
	return s.err != nil && s.err != io.EOF
}

// isFullyRead reports whether the caller's body was read to its end.
func (s *bodySource) isFullyRead() bool {
	if s == nil {
		return true
	}
	if !s.mu.TryLock() {
		return false
	}
	defer s.mu.Unlock()
	return s.err == io.EOF
}

// isReading reports whether a read from the caller is in progress.
func (s *bodySource) isReading() bool {
	if s == nil {
		return false
	}
	if !s.mu.TryLock() {
		return true
	}
	s.mu.Unlock()
	return false
}

// view returns a reader of the complete body for one attempt.
func (s *bodySource) view() *bodyView { return &bodyView{source: s} }

func (s *bodySource) buffer(p []byte) {
	full := len(s.buffered) == s.total
	s.total += len(p)
	if !full || s.total > replayBytes {
		s.buffered = nil
		return
	}
	s.buffered = append(s.buffered, p...)
}

// bodyView is the body of one attempt. Requests set no GetBody for it, because net/http must not replay it.
type bodyView struct {
	source *bodySource // nil: empty body
	pos    int
	closed atomic.Bool
}

// Read implements io.Reader.
func (v *bodyView) Read(p []byte) (int, error) {
	s := v.source
	if s == nil {
		return 0, io.EOF
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if v.closed.Load() {
		return 0, io.ErrClosedPipe
	}
	if v.pos < len(s.buffered) {
		n := copy(p, s.buffered[v.pos:])
		v.pos += n
		return n, nil
	}
	if v.pos != s.total {
		return 0, &BodyUnavailableError{}
	}
	return v.readMore(p)
}

// readMore reads from the caller; the source is locked.
func (v *bodyView) readMore(p []byte) (int, error) {
	s := v.source
	if s.err != nil {
		return 0, s.err
	}
	n, err := s.r.Read(p)
	v.pos += n
	s.buffer(p[:n])
	s.err = err
	return n, err
}

// Close implements io.Closer. A read in progress still completes; its bytes are buffered for the next attempt.
func (v *bodyView) Close() error {
	v.closed.Store(true)
	return nil
}

// pacedBody is a bodyView that is read at the rate of a link.
type pacedBody struct {
	io.Reader
	view *bodyView
}

// Close implements io.Closer.
func (p *pacedBody) Close() error { return p.view.Close() }
