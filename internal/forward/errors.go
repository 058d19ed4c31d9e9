package forward

import (
	"fmt"
	"strconv"
	"time"
)

// DialError reports that no connection to a server could be opened: nothing was sent.
type DialError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *DialError) Error() string { return "no connection to " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// IncompleteResponseError reports that no complete response could be read from a connection. The request may have run.
type IncompleteResponseError struct {
	Address string
	Reused  bool // the connection carried requests before
	Cause   error
}

// Error implements error.
func (e *IncompleteResponseError) Error() string {
	return "connection to " + e.Address + " ended without a complete response: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *IncompleteResponseError) Unwrap() error { return e.Cause }

// InvalidStatusError reports a response with a status that no response can have.
type InvalidStatusError struct{ Status int }

// Error implements error.
func (e *InvalidStatusError) Error() string { return "invalid status " + strconv.Itoa(e.Status) }

// HeadTooLargeError reports that the head of a server's response exceeds the limit.
type HeadTooLargeError struct{ Limit int64 }

// Error implements error.
func (e *HeadTooLargeError) Error() string {
	return fmt.Sprintf("response head is larger than the %d bytes allowed", e.Limit)
}

// InvalidResponseError reports a response that cannot be the server's own response to the request.
type InvalidResponseError struct {
	Address string
	Problem string
}

// Error implements error.
func (e *InvalidResponseError) Error() string {
	return "invalid response from " + e.Address + ": " + e.Problem
}

// BodyTooLargeError reports a caller's body above the limit in force.
type BodyTooLargeError struct{ Limit int64 }

// Error implements error.
func (e *BodyTooLargeError) Error() string {
	return fmt.Sprintf("request body is larger than the %d bytes allowed", e.Limit)
}

// BodyStalledError reports a caller's body that did not arrive completely within the time of its request.
type BodyStalledError struct{ Within time.Duration }

// Error implements error.
func (e *BodyStalledError) Error() string {
	return fmt.Sprintf("request body did not arrive completely within %v", e.Within)
}
