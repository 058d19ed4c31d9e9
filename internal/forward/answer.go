package forward

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"

	"github.com/azureflow/azureflow/internal/memory"
)

// bufferedResponseBytes is how much of a response body is read before any of it is passed on, so that a response that
// is cut off can still be replaced by a retry. A larger one is passed on as it arrives.
const bufferedResponseBytes = 256 << 10

// maxHeadBytes bounds the head of a response, including the interim (1xx) responses before it. Callers may send as
// much.
const maxHeadBytes = 64 << 10

// maxStrayResponses is the number of responses to other requests after which an attempt stops waiting for its own.
const maxStrayResponses = 3

// serverResponse is a response of a server.
type serverResponse struct {
	http     *http.Response
	buffered []byte // the body, or its beginning
	complete bool   // buffered is the complete body
	conn     *conn
	written  *requestWrite // of the request
	holder   memory.Holder // of the memory for buffered
	reserved int64
}

// readResponse reads the response to the request with id from c. Responses to other requests are skipped. One without
// an ID can only be trusted on a new connection: elsewhere it may belong to an earlier request.
// Errors: *InvalidResponseError, *HeadTooLargeError, those of reading.
func readResponse(
	c *conn, address, id string, names *Headers, req *http.Request, holder memory.Holder,
) (*serverResponse, error) {
	for range maxStrayResponses {
		response, err := readFinalHead(c, req)
		if err != nil {
			return nil, err
		}
		resp := &serverResponse{http: response, conn: c, holder: holder}
		if err := resp.bufferBody(); err != nil {
			resp.releaseBuffer()
			return nil, err
		}
		if echoedID := response.Header.Get(names.RequestID); echoedID != "" && echoedID != id {
			resp.releaseBuffer()
			if !resp.complete || response.Close {
				return nil, &InvalidResponseError{Address: address, Problem: "it is for another request"}
			}
			continue
		}
		if response.Header.Get(names.RequestID) == "" && c.used {
			resp.releaseBuffer()
			return nil, &InvalidResponseError{Address: address, Problem: "it has no request ID on a connection that was used before"}
		}
		if problem := resp.problem(names); problem != "" {
			resp.releaseBuffer()
			return nil, &InvalidResponseError{Address: address, Problem: problem}
		}
		return resp, nil
	}
	return nil, &InvalidResponseError{Address: address, Problem: "only responses to other requests arrived"}
}

// readFinalHead reads the head of the next response that is not an interim one. Errors: *HeadTooLargeError,
// *InvalidStatusError, those of reading.
func readFinalHead(c *conn, req *http.Request) (*http.Response, error) {
	c.bounded.left = maxHeadBytes
	defer func() { c.bounded.left = math.MaxInt64 }()
	for {
		response, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, err
		}
		if !isValidStatus(response.StatusCode) {
			return nil, &InvalidStatusError{Status: response.StatusCode}
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			return response, nil
		}
	}
}

// isValidStatus reports whether a response can have the status (RFC 9110, section 15). net/http reads any three digits.
func isValidStatus(status int) bool { return status >= http.StatusContinue && status < maxStatus }

// maxStatus is the first number above those of the five classes of status.
const maxStatus = 600

// bufferBody reads up to bufferedResponseBytes of the body. If there is no memory for that, nothing of it is read: the
// body is passed on as it arrives, and one that is cut off ends the caller's connection. Errors: those of reading.
func (resp *serverResponse) bufferBody() error {
	r := resp.http
	if r.Request.Method == http.MethodHead {
		resp.complete = true // its head gives the length that a body would have, and there is no body
		return nil
	}
	size := int64(bufferedResponseBytes)
	if r.ContentLength >= 0 {
		size = min(size, r.ContentLength)
	}
	if !resp.holder.TryReserve(size) {
		return nil
	}
	resp.reserved = size
	if r.ContentLength < 0 {
		var err error
		resp.buffered, err = io.ReadAll(io.LimitReader(r.Body, bufferedResponseBytes))
		resp.complete = len(resp.buffered) < bufferedResponseBytes
		return err
	}
	resp.buffered = make([]byte, size)
	if _, err := io.ReadFull(r.Body, resp.buffered); err != nil || r.ContentLength > size {
		return err
	}
	// The body's end is read too, so that the connection can be used again.
	if _, err := r.Body.Read(make([]byte, 1)); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	resp.complete = true
	return nil
}

// releaseBuffer gives up what is buffered.
func (resp *serverResponse) releaseBuffer() {
	resp.holder.Release(resp.reserved)
	resp.buffered, resp.reserved = nil, 0
}

// problem returns why the response cannot be passed on, or "".
func (resp *serverResponse) problem(names *Headers) string {
	h := resp.http.Header
	success := resp.http.StatusCode < http.StatusMultipleChoices
	switch {
	case resp.http.StatusCode == http.StatusSwitchingProtocols:
		return "it switches the protocol"
	case h.Get("Content-Encoding") != "":
		return "its content is encoded"
	case success && h.Get(names.Signature) == "":
		return "it has no signature"
	case resp.isFinalRejection(names) && h.Get(names.Signature) == "":
		return "it rejects the request and has no signature"
	case success && h.Get(names.RequestID) == "":
		return "it has no request ID"
	}
	return ""
}

// isFinalRejection reports whether the response is a redirection or an error of the caller that does not say that the
// request was not run. Callers do not repeat a request after it, so it must be the server's own: whoever else listens at
// an address may answer so.
func (resp *serverResponse) isFinalRejection(names *Headers) bool {
	status := resp.http.StatusCode
	return status >= http.StatusMultipleChoices && status < http.StatusInternalServerError &&
		!resp.reportsNotRun(names) && !isRefusal(status)
}

// discard closes the connection if the response still needs it.
func (resp *serverResponse) discard() {
	if !resp.complete {
		_ = resp.conn.raw.Close()
	}
	resp.releaseBuffer()
}

// isUnframed reports whether only the end of the connection ends the body.
func (resp *serverResponse) isUnframed() bool {
	return resp.http.ContentLength < 0 && len(resp.http.TransferEncoding) == 0
}

// awaitFraming returns an error if the end of an unframed body may be a reset. The system reports a reset to one call
// only: to a write of the request, if one is under way, and reads then just find the end of the stream.
// Errors: that of writing the request, that of ctx.
func (resp *serverResponse) awaitFraming(ctx context.Context) error {
	if !resp.isUnframed() {
		return nil
	}
	return resp.written.await(ctx)
}

// isReusable reports whether the connection can carry another request.
func (resp *serverResponse) isReusable() bool {
	r := resp.http
	return resp.complete && !resp.isUnframed() && !r.Close && resp.conn.reader.Buffered() == 0 && len(resp.conn.refused) < maxRefusedIDs
}

// reportsNotRun reports whether the server says that it did not run the request.
func (resp *serverResponse) reportsNotRun(names *Headers) bool {
	return resp.http.Header.Get(names.NotRun) != "" || resp.http.StatusCode == http.StatusMisdirectedRequest
}

// isRefusal reports whether the status promises that the request did not run.
func isRefusal(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
