package link

import "fmt"

// InterruptedError reports a wait that ended before all bytes could be sent.
type InterruptedError struct {
	Sent, Bytes int
	Cause       error // error of the context
}

// Error implements error.
func (e *InterruptedError) Error() string {
	return fmt.Sprintf("wait for link capacity interrupted after %d of %d bytes: %v", e.Sent, e.Bytes, e.Cause)
}

// Unwrap returns the cause.
func (e *InterruptedError) Unwrap() error { return e.Cause }
