package forward

import (
	"fmt"
	"time"
)

// DialError reports a server to which no connection could be made: nothing was sent.
type DialError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *DialError) Error() string { return "no connection to " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// IncompleteResponseError reports a connection that ended before the whole answer came. The request may have run.
type IncompleteResponseError struct {
	Address string
	Reused  bool // the connection had carried requests before
	Cause   error
}

// Error implements error.
func (e *IncompleteResponseError) Error() string {
	return "connection to " + e.Address + " ended without a whole answer: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *IncompleteResponseError) Unwrap() error { return e.Cause }

// HeadTooLargeError reports a server that sent more than an answer's head may have, before its end.
type HeadTooLargeError struct{ Limit int64 }

// Error implements error.
func (e *HeadTooLargeError) Error() string {
	return fmt.Sprintf("head of the answer is larger than the %d bytes allowed", e.Limit)
}

// InvalidResponseError reports an answer that cannot be the server's own.
type InvalidResponseError struct {
	Address string
	Problem string
}

// Error implements error.
func (e *InvalidResponseError) Error() string {
	return "answer of " + e.Address + " is spoilt: " + e.Problem
}

// BodyTooLargeError reports a caller's body above the limit in force.
type BodyTooLargeError struct{ Limit int64 }

// Error implements error.
func (e *BodyTooLargeError) Error() string {
	return fmt.Sprintf("body is larger than the %d bytes allowed", e.Limit)
}

// BodyStalledError reports a caller's body that did not come whole in the time of its request.
type BodyStalledError struct{ Within time.Duration }

// Error implements error.
func (e *BodyStalledError) Error() string {
	return fmt.Sprintf("body did not come whole within %v", e.Within)
}
