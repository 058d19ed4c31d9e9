package caller

import (
	"errors"
	"io"
	"net/http"
)

// callBody is the body of a call.
type callBody struct {
	reader io.Reader   // nil: no body
	at     io.ReaderAt // set if the body can be read several times
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

// again reports whether the body can be sent a second time.
func (b *callBody) again() bool { return b.reader == nil || b.at != nil }

// attach gives req the body. It sets no GetBody: net/http must not send it a second time by itself.
func (b *callBody) attach(req *http.Request) {
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

// answerBody is the body of an answer; closing it ends the call.
type answerBody struct {
	io.ReadCloser
	cancel func()
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		err = &CutOffError{Cause: err}
	}
	return n, err
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}
