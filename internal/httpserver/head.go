package httpserver

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"
)

// RequestError reports a request that is rejected before it reaches the handler.
type RequestError struct {
	Status     int // of the response
	Problem    string
	RetryAfter time.Duration // 0: none
}

// Error implements error.
func (e *RequestError) Error() string { return e.Problem }

func badRequest(problem string) *RequestError {
	return &RequestError{Status: http.StatusBadRequest, Problem: problem}
}

// peekHead returns the bytes of the next head, up to and including its empty line, without consuming them.
// Errors: *RequestError if it is longer than the limit, those of reading.
func (c *conn) peekHead() ([]byte, error) {
	scanned := 0
	limit := c.server.callerLimits().HeadBytes
	for {
		buffered, _ := c.reader.Peek(c.reader.Buffered())
		if end := headEnd(buffered, scanned); end > 0 {
			if end > limit {
				return nil, &RequestError{Status: http.StatusRequestHeaderFieldsTooLarge, Problem: "head too large"}
			}
			return buffered[:end], nil
		}
		scanned = len(buffered)
		if scanned > limit {
			return nil, &RequestError{Status: http.StatusRequestHeaderFieldsTooLarge, Problem: "head too large"}
		}
		if scanned == c.reader.Size() {
			if err := c.growBuffer(buffered); err != nil {
				return nil, err
			}
		}
		if _, err := c.reader.Peek(scanned + 1); err != nil {
			return nil, err
		}
	}
}

// headEnd returns the length of the head at the start of data, 0 if its empty line is not there yet. The first scanned
// bytes are known to contain no complete head.
func headEnd(data []byte, scanned int) int {
	const emptyLine = 3 // bytes before scanned that may begin an empty line
	for i := max(0, scanned-emptyLine); i < len(data); i++ {
		if data[i] != '\n' {
			continue
		}
		rest := data[i+1:]
		switch {
		case bytes.HasPrefix(rest, []byte("\n")):
			return i + 2
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return i + 3
		}
	}
	return 0
}

// headFields are the fields of a head that decide where the request ends and for whom it is.
type headFields struct {
	hosts             []string
	count             int
	contentLengths    int
	transferEncodings int
}

// checkHead returns the fields of a head. It is stricter than net/http about everything that another reader of the
// same bytes might understand differently: line ends other than CRLF, folded lines, control characters.
// Errors: *RequestError.
func checkHead(head []byte) (headFields, error) {
	var fields headFields
	text := string(head)
	for number := 0; ; number++ {
		line, rest, found := strings.Cut(text, "\r\n")
		if !found || strings.ContainsAny(line, "\r\n\x00") {
			return fields, badRequest("line end is not CRLF")
		}
		if line == "" {
			break
		}
		text = rest
		if number == 0 {
			continue // the request line is left to net/http
		}
		if line[0] == ' ' || line[0] == '\t' {
			return fields, badRequest("folded header line")
		}
		name, value, found := strings.Cut(line, ":")
		if !found || !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
			return fields, badRequest("invalid header line")
		}
		fields.count++
		switch strings.ToLower(name) {
		case "host":
			fields.hosts = append(fields.hosts, strings.Trim(value, " \t"))
		case "content-length":
			fields.contentLengths++
		case "transfer-encoding":
			fields.transferEncodings++
		}
	}
	return fields, nil
}

// readRequest reads the next request up to its body. charged is the memory that is reserved for its head. Errors:
// *RequestError, those of reading.
func (c *conn) readRequest() (r *http.Request, charged int64, err error) {
	head, err := c.peekHead()
	if err != nil {
		return nil, 0, err
	}
	fields, err := checkHead(head)
	if err != nil {
		return nil, 0, err
	}
	charged = int64(2*len(head) + fields.count*fieldBytes) // its text is copied once
	if c.server.opts.Limits.reserve(c, charged, time.Time{}) != nil {
		return nil, 0, noRoom()
	}
	if r, err = c.parseRequest(&fields); err != nil {
		c.server.opts.Limits.release(charged)
		return nil, 0, err
	}
	return r, charged, nil
}

// parseRequest consumes the head in the read buffer. Errors: *RequestError.
func (c *conn) parseRequest(fields *headFields) (*http.Request, error) {
	r, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, badRequest(err.Error())
	}
	if err := checkRequest(r, fields); err != nil {
		return nil, err
	}
	r.RemoteAddr = c.remote
	return r, nil
}

// noRoom returns the error of a request for whose head there is no memory.
func noRoom() *RequestError {
	// Callers come back after half to one and a half times the wait for room, not all at once.
	return &RequestError{Status: http.StatusServiceUnavailable, Problem: "no memory", RetryAfter: maxRoomWait/2 + rand.N(maxRoomWait)}
}

// growBuffer doubles the read buffer, which is full with buffered. Errors: *RequestError if there is no memory for it.
func (c *conn) growBuffer(buffered []byte) error {
	size := 2 * c.reader.Size()
	if c.server.opts.Limits.reserve(c, int64(size), time.Time{}) != nil {
		return noRoom()
	}
	c.bufferCharged += int64(size)
	c.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(slices.Clone(buffered)), c), size)
	return nil
}

// shrinkBuffer replaces a read buffer that grew for an earlier head, once all of it is used.
func (c *conn) shrinkBuffer() {
	if c.bufferCharged == 0 || c.reader.Buffered() > 0 {
		return
	}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	c.server.opts.Limits.release(c.bufferCharged)
	c.bufferCharged = 0
}

// checkRequest rejects requests that net/http's server rejects, and those whose length is given in two ways.
// Errors: *RequestError.
func checkRequest(r *http.Request, fields *headFields) error {
	switch {
	case r.ProtoMajor != 1:
		return &RequestError{Status: http.StatusHTTPVersionNotSupported, Problem: "unsupported protocol version"}
	case r.ProtoAtLeast(1, 1) && len(fields.hosts) == 0:
		return badRequest("no Host header")
	case len(fields.hosts) > 1:
		return badRequest("several Host headers")
	case len(fields.hosts) == 1 && !httpguts.ValidHostHeader(fields.hosts[0]):
		return badRequest("invalid Host header")
	case fields.contentLengths > 1 || fields.transferEncodings > 1:
		return badRequest("several lengths of the body")
	case fields.transferEncodings > 0 && (fields.contentLengths > 0 || !r.ProtoAtLeast(1, 1)):
		return badRequest("Transfer-Encoding with a Content-Length or in HTTP/1.0")
	}
	if expect := r.Header.Get("Expect"); expect != "" && !strings.EqualFold(expect, "100-continue") {
		return &RequestError{Status: http.StatusExpectationFailed, Problem: "unknown expectation"}
	}
	return nil
}

// requestErrorOf returns the *RequestError in err, nil if there is none.
func requestErrorOf(err error) *RequestError {
	var rejected *RequestError
	if errors.As(err, &rejected) {
		return rejected
	}
	return nil
}
