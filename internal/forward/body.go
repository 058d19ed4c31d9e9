package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/azureflow/azureflow/internal/memory"
)

// bufferedBodyBytes is how much of a caller's body is buffered, so that it can be sent again after a server refused the
// request. A larger body is passed on as it arrives and is sent once.
const bufferedBodyBytes = 1 << 20

// body is the body of a caller's request.
type body struct {
	buffered    []byte
	rest        io.Reader     // what was not buffered; nil if the buffer has all of it
	length      int64         // -1 if unknown
	restStarted bool          // part of rest may have been read
	source      *callerBody   // of rest
	sentBytes   int           // of the buffer, once rest has started
	holder      memory.Holder // of the memory for the buffer
	reserved    int64         // for the buffer, bytes
}

// receiveBody reads the caller's body until the request's deadline or AbortInFlight. net/http removes the read deadline
// when the body has ended. Errors: *BodyTooLargeError, *BodyStalledError, *memory.NoRoomError, those of reading from the caller.
func (x *exchange) receiveBody(limit int64) error {
	x.setReadDeadline(x.deadline)
	stop := context.AfterFunc(x.h.abortCtx, func() { x.setReadDeadline(x.start) })
	defer stop()
	body, err := readBody(x.r, limit, x.holder)
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

// readBody reads a body up to bufferedBodyBytes. While there is no memory for more of it, nothing is read. Errors:
// *BodyTooLargeError, *memory.NoRoomError, those of reading from the caller.
func readBody(r *http.Request, limit int64, holder memory.Holder) (*body, error) {
	if hasNoBody(r) {
		return &body{}, nil
	}
	if limit > 0 && r.ContentLength > limit {
		return nil, &BodyTooLargeError{Limit: limit}
	}
	source := &callerBody{source: r.Body, limit: limit}
	b := &body{holder: holder}
	complete, err := b.fill(source, r.ContentLength)
	if err != nil {
		return nil, err
	}
	b.length = int64(len(b.buffered))
	if !complete {
		if err := holder.Reserve(streamBytes); err != nil {
			return nil, err
		}
		b.rest, b.source, b.length = source, source, r.ContentLength
	}
	return b, nil
}

const (
	// A buffer for a body begins with firstBufferBytes and grows by bufferGrowth as the body arrives, not by the length
	// that the caller announces.
	firstBufferBytes = 16 << 10
	bufferGrowth     = 4
	// streamBytes is the memory that passing a body on takes.
	streamBytes = 64 << 10
)

// fill reads source into the buffer until it ends or bufferedBodyBytes are read, and reports whether it ended. length is
// what the caller announced, -1: nothing. Errors: *memory.NoRoomError, those of reading.
func (b *body) fill(source io.Reader, length int64) (complete bool, err error) {
	size := int64(firstBufferBytes)
	for {
		size = min(size, bufferedBodyBytes)
		if length >= 0 {
			size = min(size, length+1) // the end is read, too
		}
		if err := b.grow(int(size)); err != nil {
			return false, err
		}
		for len(b.buffered) < cap(b.buffered) {
			n, err := source.Read(b.buffered[len(b.buffered):cap(b.buffered)])
			b.buffered = b.buffered[:len(b.buffered)+n]
			if errors.Is(err, io.EOF) {
				return true, nil
			}
			if err != nil {
				return false, err
			}
		}
		if size == bufferedBodyBytes {
			return false, nil
		}
		size *= bufferGrowth
	}
}

// grow makes the buffer size bytes large. Errors: *memory.NoRoomError.
func (b *body) grow(size int) error {
	if err := b.holder.Reserve(int64(size)); err != nil {
		return err
	}
	larger := make([]byte, len(b.buffered), size)
	copy(larger, b.buffered)
	b.holder.Release(b.reserved)
	b.buffered, b.reserved = larger, int64(size)
	return nil
}

// callerBody is the body as it comes from the caller. It fails beyond limit bytes, so that a server does not take the
// beginning of a body for all of it.
type callerBody struct {
	source io.Reader
	limit  int64 // 0: none
	read   int64
	failed atomic.Pointer[error] // why reading failed, nil if it has not
}

// Read implements io.Reader. Errors: *BodyTooLargeError, those of reading from the caller.
func (b *callerBody) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	b.read += int64(n)
	if b.limit > 0 && b.read > b.limit {
		n, err = 0, &BodyTooLargeError{Limit: b.limit}
	}
	if err != nil && !errors.Is(err, io.EOF) {
		b.failed.Store(&err)
	}
	return n, err
}

// callerError returns why the body could not be read completely, nil if it could or if it is still being read.
func (b *body) callerError() error {
	if b == nil || b.source == nil {
		return nil
	}
	if err := b.source.failed.Load(); err != nil {
		return *err
	}
	return nil
}

// isTooLarge reports whether the caller sent more than is allowed after the beginning was passed on.
func (b *body) isTooLarge() bool {
	var large *BodyTooLargeError
	return errors.As(b.callerError(), &large)
}

func holderOf(w http.ResponseWriter) memory.Holder {
	if holder, ok := w.(memory.Holder); ok {
		return holder
	}
	return memory.Unlimited{}
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
	b.restStarted, b.sentBytes = true, len(b.buffered)
	first := &releasingReader{data: b.buffered, release: func() { b.holder.Release(b.reserved) }}
	b.buffered = nil // it is sent once
	return io.MultiReader(first, b.rest)
}

// size returns how much of the body is or was buffered.
func (b *body) size() int { return len(b.buffered) + b.sentBytes }

// releasingReader reads data once and gives its memory back at the end.
type releasingReader struct {
	data    []byte
	release func()
}

// Read implements io.Reader.
func (r *releasingReader) Read(p []byte) (int, error) {
	if len(r.data) > 0 {
		n := copy(p, r.data)
		r.data = r.data[n:]
		return n, nil
	}
	if r.release != nil {
		r.release()
		r.data, r.release = nil, nil
	}
	return 0, io.EOF
}
