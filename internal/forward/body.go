package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

// keptBodyBytes is how much of a caller's body is held, so that it can be sent again after a server refused
// it. A larger body is passed on as it comes and is sent once.
const keptBodyBytes = 1 << 20

// body is the body of a caller's request.
type body struct {
	kept    []byte
	rest    io.Reader // what was not kept; nil if all was
	length  int64     // -1: not known
	started bool      // part of rest may have been read
}

// takeBody reads the caller's body until the request's time is over or the process ends. net/http lifts the limit when the
// body has ended. Errors: *BodyTooLargeError, *BodyStalledError, those of reading from the caller.
func (x *exchange) takeBody(limit int64) error {
	x.endReading(x.end)
	stop := context.AfterFunc(x.h.ending, func() { x.endReading(x.start) })
	defer stop()
	body, err := readBody(x.r, limit)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &BodyStalledError{Within: time.Since(x.start)}
	}
	x.body = body
	return err
}

// endReading lets reads of the body fail from the moment at on. A connection that cannot do that, as in tests, is read for
// as long as it takes.
func (x *exchange) endReading(at time.Time) {
	if noBody(x.r) {
		return
	}
	_ = http.NewResponseController(x.w).SetReadDeadline(at)
}

// readBody reads a body up to keptBodyBytes. Errors: *BodyTooLargeError, those of reading from the caller.
func readBody(r *http.Request, limit int64) (*body, error) {
	if noBody(r) {
		return &body{}, nil
	}
	if limit > 0 && r.ContentLength > limit {
		return nil, &BodyTooLargeError{Limit: limit}
	}
	source := io.Reader(r.Body)
	if limit > 0 {
		source = io.LimitReader(r.Body, limit+1)
	}
	var buffer bytes.Buffer
	if r.ContentLength > 0 && r.ContentLength <= keptBodyBytes {
		buffer.Grow(int(r.ContentLength) + bytes.MinRead)
	}
	n, err := io.CopyN(&buffer, source, keptBodyBytes)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	if limit > 0 && n > limit {
		return nil, &BodyTooLargeError{Limit: limit}
	}
	b := &body{kept: buffer.Bytes(), length: n}
	if err == nil {
		b.rest, b.length = source, r.ContentLength
	}
	return b, nil
}

func noBody(r *http.Request) bool { return r.Body == nil || r.Body == http.NoBody }

// repeatable reports whether the whole body can be sent again.
func (b *body) repeatable() bool { return b.rest == nil || !b.started }

// empty reports whether there is no body to send.
func (b *body) empty() bool { return len(b.kept) == 0 && b.rest == nil }

// reader returns the body from its beginning.
func (b *body) reader() io.Reader {
	if b.rest == nil {
		return bytes.NewReader(b.kept)
	}
	b.started = true
	return io.MultiReader(bytes.NewReader(b.kept), b.rest)
}
