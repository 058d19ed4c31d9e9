package request

import (
	"strconv"
	"time"

	"github.com/azureflow/azureflow/internal/review"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// RefusedError reports a request that the queue did not admit. It was sent to no server.
type RefusedError struct {
	Service    steering.ServiceName
	Constraint review.Constraint
	RetryAfter time.Duration
	Candidates []review.Candidate
}

// Error implements error.
func (e *RefusedError) Error() string {
	return "request to " + string(e.Service) + " refused: limited by " + string(e.Constraint)
}

// CallerDisconnectedError reports a caller that disconnected while its request was queued; nothing was sent.
type CallerDisconnectedError struct{}

// Error implements error.
func (*CallerDisconnectedError) Error() string {
	return "caller disconnected while its request was queued"
}

// SealedConnError reports a write on a connection whose attempt has ended.
type SealedConnError struct{}

// Error implements error.
func (*SealedConnError) Error() string { return "write on a closed connection: its attempt has ended" }

// AttemptError reports an attempt without a usable response.
type AttemptError struct {
	Server  vm.Name
	Failure Failure
	NotRun  bool // proven: the server did not and will not run the request
	Cause   error

	retryPaid bool // the budget was already charged for the next attempt
}

// Error implements error.
func (e *AttemptError) Error() string {
	text := "attempt on " + string(e.Server) + " failed: " + e.Failure.String()
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Cause }

// MismatchedResponseError reports a response that echoes the ID of another attempt.
type MismatchedResponseError struct {
	Sent   string
	Echoed string
}

// Error implements error.
func (e *MismatchedResponseError) Error() string {
	return "response to another attempt: sent attempt " + e.Sent + ", response echoes " + e.Echoed
}

// UnframedResponseError reports an HTTP/1 response that is delimited only by the end of its connection, so that a
// truncated response cannot be told from a complete one.
type UnframedResponseError struct{}

// Error implements error.
func (*UnframedResponseError) Error() string {
	return "response has neither Content-Length nor chunked encoding"
}

// StatusError reports a response whose status says that the server failed.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return "server responded with status " + strconv.Itoa(e.Status) }

// UnresponsiveError reports a connection that transferred no byte for longer than allowed.
type UnresponsiveError struct{ Inactive time.Duration }

// Error implements error.
func (e *UnresponsiveError) Error() string {
	return "connection unresponsive for " + e.Inactive.String()
}

// KeyError reports an idempotency key whose request may have run elsewhere, so that it is not sent again.
type KeyError struct {
	Key     string
	Verdict KeyVerdict
	Entry   vm.Name // the entry VM that gave the verdict, if any
}

// Error implements error.
func (e *KeyError) Error() string {
	return "request not sent: its idempotency key is " + e.Verdict.String() + " at entry VM " + string(e.Entry)
}

// RouteError reports a request that matches no operation in the configuration.
type RouteError struct {
	Path   string
	Status int // 404 or 405
}

// Error implements error.
func (e *RouteError) Error() string {
	return "no operation matches path " + e.Path + ": status " + strconv.Itoa(e.Status)
}

// HeaderError reports a malformed request header.
type HeaderError struct {
	Header string
	Value  string
}

// Error implements error.
func (e *HeaderError) Error() string { return "malformed header " + e.Header + ": " + e.Value }

// BodyUnavailableError reports a request body that an earlier attempt consumed and that is no longer buffered.
type BodyUnavailableError struct{}

// Error implements error.
func (*BodyUnavailableError) Error() string {
	return "request body was consumed by an earlier attempt and is not buffered"
}

// costsNoBudget reports whether the attempt sent nothing, so that the next one is not charged to the budget.
func (e *AttemptError) costsNoBudget() bool { return e.NotRun && e.Failure != FailureShed }

var failureNames = [...]string{
	FailureNone: "none", FailureDial: "dial", FailureSilent: "silent", FailureReset: "reset",
	FailureShed: "shed", FailureServer: "server", FailureCancelled: "cancelled",
}

// String returns the name used in records and metrics.
func (f Failure) String() string {
	if int(f) < len(failureNames) {
		return failureNames[f]
	}
	return "unknown"
}
