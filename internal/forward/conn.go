package forward

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/azureflow/azureflow/internal/socket"
)

const (
	readBufferBytes      = 4 << 10
	idleTimeoutMargin    = 500 * time.Millisecond // subtracted from the server's own idle timeout
	defaultIdleTimeout   = 4 * time.Second        // if the server sends no timeout
	maxIdleNonIdempotent = time.Second            // for requests that may run only once: older connections may be dead
	maxIdleIdempotent    = 40 * time.Second       // for other requests, if the server sends no shorter timeout
)

// conn is a connection to a server. It carries one request at a time.
type conn struct {
	raw       net.Conn
	bounded   *boundedReader
	reader    *bufio.Reader // reads from bounded
	idleSince time.Time
	idleLimit time.Duration
	used      bool
	refused   []string // IDs of the requests that the server refused on it
}

func newConn(raw net.Conn) *conn {
	bounded := &boundedReader{source: raw, left: math.MaxInt64}
	return &conn{
		raw: raw, bounded: bounded, reader: bufio.NewReaderSize(bounded, readBufferBytes), idleLimit: defaultIdleTimeout,
	}
}

// boundedReader fails with *HeadTooLargeError once more than left bytes are read from source.
type boundedReader struct {
	source io.Reader
	left   int64
}

// Read implements io.Reader.
func (r *boundedReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, &HeadTooLargeError{Limit: maxHeadBytes}
	}
	n, err := r.source.Read(p)
	r.left -= int64(n)
	return n, err
}

// applyKeepAlive sets the idle limit to the idle timeout that the server's response announces, less idleTimeoutMargin.
func (c *conn) applyKeepAlive(h http.Header) {
	for _, field := range h["Keep-Alive"] {
		for part := range strings.SplitSeq(field, ",") {
			text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
			if !ok {
				continue
			}
			if s, err := strconv.Atoi(text); err == nil {
				c.idleLimit = time.Duration(s)*time.Second - idleTimeoutMargin
			}
		}
	}
}

// isAlive reports whether the idle connection can carry another request: neither data nor the end of the stream is
// known to have arrived.
func (c *conn) isAlive() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	state := socket.Peek(c.raw)
	return state == socket.Idle || state == socket.Unknown
}

// maxRefusedIDs bounds the memory for the IDs of refused requests; a connection with more is not used again.
const maxRefusedIDs = 16

// mayCarry reports whether the connection may carry the request with id. A server that refused it before may send that
// refusal a second time, which would pass for the response to this attempt although the request runs.
func (c *conn) mayCarry(id string) bool { return !slices.Contains(c.refused, id) }

// interruptOn makes all reads and writes on the connection fail once ctx ends. stop cancels this.
func (c *conn) interruptOn(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() { _ = c.raw.SetDeadline(time.Unix(1, 0)) })
}
