package forward

import (
	"errors"
	"io"
	"math"
	"net/http"
)

// heldAnswerBytes is how much of an answer is read before any of it is passed on, so that one that breaks off
// can still be replaced. A larger one is passed on as it comes.
const heldAnswerBytes = 256 << 10

// maxHeadBytes bounds the head of an answer, interim answers before it included; as much as callers may send.
const maxHeadBytes = 64 << 10

// maxStrayAnswers bounds the answers to other requests that are skipped before the one expected.
const maxStrayAnswers = 3

// answer is a server's answer.
type answer struct {
	response *http.Response
	held     []byte // the body, or its beginning
	whole    bool   // held is the whole body
	conn     *conn
}

// readAnswer reads the answer to the request with id from c. Answers to other requests are skipped.
// Errors: *SpoiltError, those of reading.
func readAnswer(c *conn, address, id string, names *Headers, req *http.Request) (*answer, error) {
	for range maxStrayAnswers {
		response, err := readFinal(c, req)
		if err != nil {
			return nil, err
		}
		held, whole, err := hold(response)
		if err != nil {
			return nil, err
		}
		if echo := response.Header.Get(names.RequestID); echo != "" && echo != id {
			if !whole || response.Close {
				return nil, &InvalidResponseError{Address: address, Problem: "it answers another request"}
			}
			continue
		}
		a := &answer{response: response, held: held, whole: whole, conn: c}
		if problem := a.problem(names); problem != "" {
			return nil, &InvalidResponseError{Address: address, Problem: problem}
		}
		return a, nil
	}
	return nil, &InvalidResponseError{Address: address, Problem: "only answers to other requests came"}
}

// readFinal reads the head of the next answer that is not an interim one. Errors: *HeadTooLargeError, those of reading.
func readFinal(c *conn, req *http.Request) (*http.Response, error) {
	c.bounded.left = maxHeadBytes
	defer func() { c.bounded.left = math.MaxInt64 }()
	for {
		response, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			return response, nil
		}
	}
}

// hold reads the body of an answer up to heldAnswerBytes.
func hold(r *http.Response) (held []byte, whole bool, err error) {
	if r.Request.Method == http.MethodHead {
		return nil, true, nil // it says how long a body would be, and has none
	}
	if r.ContentLength >= 0 && r.ContentLength <= heldAnswerBytes {
		held = make([]byte, r.ContentLength)
		if _, err := io.ReadFull(r.Body, held); err != nil {
			return nil, false, err
		}
		// The body's end is read too, so that the connection can be used again.
		_, err := r.Body.Read(make([]byte, 1))
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, false, err
		}
		return held, true, nil
	}
	held, err = io.ReadAll(io.LimitReader(r.Body, heldAnswerBytes))
	if err != nil {
		return nil, false, err
	}
	return held, len(held) < heldAnswerBytes, nil
}

// problem returns why the answer cannot be passed on, or "".
func (a *answer) problem(names *Headers) string {
	h := a.response.Header
	success := a.response.StatusCode < http.StatusMultipleChoices
	switch {
	case a.response.StatusCode == http.StatusSwitchingProtocols:
		return "it changes the protocol"
	case h.Get("Content-Encoding") != "":
		return "its content is encoded"
	case success && h.Get(names.Signature) == "":
		return "it has no signature"
	case success && h.Get(names.RequestID) == "":
		return "it has no request id"
	}
	return ""
}

// discard closes the connection if the answer still needs it.
func (a *answer) discard() {
	if !a.whole {
		_ = a.conn.raw.Close()
	}
}

// reusable reports whether the connection can carry another request.
func (a *answer) reusable() bool {
	r := a.response
	framed := r.ContentLength >= 0 || len(r.TransferEncoding) > 0
	return a.whole && framed && !r.Close && a.conn.reader.Buffered() == 0
}

// notRun reports whether the server says that it did not run the request.
func (a *answer) notRun(names *Headers) bool {
	return a.response.Header.Get(names.NotRun) != "" || a.response.StatusCode == http.StatusMisdirectedRequest
}

// refusal reports whether the status promises that the request did not run.
func refusal(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
