package request

import (
	"io"
	"sync"
	"sync/atomic"
)

// replayBytes is how much of a request body is kept so that a later attempt can send it again.
const replayBytes = 32 << 10

// bodySource is the body of a caller's request, read by one attempt after another. It keeps the first
// bytes; once more were read than it keeps, no further attempt can be made.
type bodySource struct {
	mu    sync.Mutex
	r     io.Reader
	kept  []byte // all that was read, or nil once that is more than replayBytes
	total int    // bytes read from r
	err   error  // of r, once it ended
}

// newBodySource returns the source of r, or nil if there is no body.
func newBodySource(r io.Reader) *bodySource {
	if r == nil {
		return nil
	}
	return &bodySource{r: r}
}

// replayable reports whether another attempt could send the whole body. It never waits for the caller.
func (s *bodySource) replayable() bool {
	if s == nil {
		return true
	}
	if !s.mu.TryLock() {
		return false
	}
	defer s.mu.Unlock()
	return len(s.kept) == s.total
}

// broken reports whether the caller's body ended with an error.
func (s *bodySource) broken() bool {
	if s == nil || !s.mu.TryLock() {
		return false
	}
	defer s.mu.Unlock()
	return s.err != nil && s.err != io.EOF
}

// ended reports whether the caller's body was read to its end.
func (s *bodySource) ended() bool {
	if s == nil {
		return true
	}
	if !s.mu.TryLock() {
		return false
	}
	defer s.mu.Unlock()
	return s.err == io.EOF
}

// reading reports whether a read from the caller is in progress.
func (s *bodySource) reading() bool {
	if s == nil {
		return false
	}
	if !s.mu.TryLock() {
		return true
	}
	s.mu.Unlock()
	return false
}

// view returns a reader of the whole body for one attempt.
func (s *bodySource) view() *bodyView { return &bodyView{source: s} }

func (s *bodySource) keep(p []byte) {
	full := len(s.kept) == s.total
	s.total += len(p)
	if !full || s.total > replayBytes {
		s.kept = nil
		return
	}
	s.kept = append(s.kept, p...)
}

// bodyView is the body of one attempt. It has no GetBody on purpose: net/http must not replay it.
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
	if v.pos < len(s.kept) {
		n := copy(p, s.kept[v.pos:])
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
	s.keep(p[:n])
	s.err = err
	return n, err
}

// Close implements io.Closer. A read in progress still ends; its bytes are kept for the next attempt.
func (v *bodyView) Close() error {
	v.closed.Store(true)
	return nil
}

// pacedBody is a body view read at the pace of a link.
type pacedBody struct {
	io.Reader
	view *bodyView
}

// Close implements io.Closer.
func (p *pacedBody) Close() error { return p.view.Close() }
