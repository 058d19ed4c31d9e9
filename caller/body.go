package caller

import (
	"errors"
	"io"
	"net/http"
)

// callBody is the body of a call.
type callBody struct {
	reader io.Reader   // nil: no body
	at     io.ReaderAt // set if the body can be read repeatedly
	size   int64       // bytes; 0: unknown
}

func newCallBody(r io.Reader, size int64) callBody {
	b := callBody{reader: r, size: size}
	if sized, ok := r.(interface{ Len() int }); ok && size == 0 {
		b.size = int64(sized.Len())
	}
	if at, ok := r.(io.ReaderAt); ok && b.size > 0 {
		b.at = at
	}
	return b
}

// isRepeatable reports whether the body can be sent more than once.
func (b *callBody) isRepeatable() bool { return b.reader == nil || b.at != nil }

// setOn sets the body of req. It leaves GetBody unset, so that net/http does not retry the request by itself.
func (b *callBody) setOn(req *http.Request) {
	switch {
	case b.reader == nil:
		return
	case b.at != nil:
		req.Body = io.NopCloser(io.NewSectionReader(b.at, 0, b.size))
	default:
		req.Body = io.NopCloser(b.reader)
	}
	req.ContentLength = b.size
	if b.size == 0 {
		req.ContentLength = -1
	}
}

// responseBody is the body of a response; closing it ends the call.
type responseBody struct {
	io.ReadCloser
	cancel func()
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		err = &CutOffError{Cause: err}
	}
	return n, err
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}
