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

// bufferedBodyBytes is how much of a caller's body is buffered, so that it can be sent again after a server refused the
// request. A larger body is passed on as it arrives and is sent once.
const bufferedBodyBytes = 1 << 20

// body is the body of a caller's request.
type body struct {
	buffered    []byte
	rest        io.Reader // what was not buffered; nil if the buffer has all of it
	length      int64     // -1 if unknown
	restStarted bool      // part of rest may have been read
}

// receiveBody reads the caller's body until the request's deadline or AbortInFlight. net/http removes the read deadline
// when the body has ended. Errors: *BodyTooLargeError, *BodyStalledError, those of reading from the caller.
func (x *exchange) receiveBody(limit int64) error {
	x.setReadDeadline(x.deadline)
	stop := context.AfterFunc(x.h.abortCtx, func() { x.setReadDeadline(x.start) })
	defer stop()
	body, err := readBody(x.r, limit)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &BodyStalledError{Within: time.Since(x.start)}
	}
	x.body = body
	return err
}

// setReadDeadline makes reads of the body fail from the moment at on. If the connection does not support deadlines, as
// in tests, reading is not limited.
func (x *exchange) setReadDeadline(at time.Time) {
	if hasNoBody(x.r) {
		return
	}
	_ = http.NewResponseController(x.w).SetReadDeadline(at)
}

// readBody reads a body up to keptBodyBytes. Errors: *BodyTooLargeError, those of reading from the caller.
func readBody(r *http.Request, limit int64) (*body, error) {
	if hasNoBody(r) {
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
	if r.ContentLength > 0 && r.ContentLength <= bufferedBodyBytes {
		buffer.Grow(int(r.ContentLength) + bytes.MinRead)
	}
	n, err := io.CopyN(&buffer, source, bufferedBodyBytes)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	if limit > 0 && n > limit {
		return nil, &BodyTooLargeError{Limit: limit}
	}
	b := &body{buffered: buffer.Bytes(), length: n}
	if err == nil {
		b.rest, b.length = source, r.ContentLength
	}
	return b, nil
}

func hasNoBody(r *http.Request) bool { return r.Body == nil || r.Body == http.NoBody }

// isReplayable reports whether the complete body can be sent again.
func (b *body) isReplayable() bool { return b.rest == nil || !b.restStarted }

// isEmpty reports whether there is no body to send.
func (b *body) isEmpty() bool { return len(b.buffered) == 0 && b.rest == nil }

// reader returns the body from its beginning.
func (b *body) reader() io.Reader {
	if b.rest == nil {
		return bytes.NewReader(b.buffered)
	}
	b.restStarted = true
	return io.MultiReader(bytes.NewReader(b.buffered), b.rest)
}
