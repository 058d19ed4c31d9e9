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
	return "request to " + string(e.Service) + " refused: bound by " + string(e.Constraint)
}

// CallerDisconnectedError reports a caller that went away while its request waited; nothing was sent.
type CallerDisconnectedError struct{}

// Error implements error.
func (*CallerDisconnectedError) Error() string { return "caller went away" }

// SealedConnError reports a write on a connection that its attempt gave up.
type SealedConnError struct{}

// Error implements error.
func (*SealedConnError) Error() string { return "connection sealed: its attempt has ended" }

// AttemptError reports an attempt that brought no usable answer.
type AttemptError struct {
	Server  vm.Name
	Failure Failure
	NotRun  bool // proved: the server did not and will not run it
	Cause   error

	paid bool // the next attempt is already paid from the budget
}

// Error implements error.
func (e *AttemptError) Error() string {
	text := "attempt at " + string(e.Server) + " failed: " + e.Failure.String()
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Cause }

// MismatchedResponseError reports an answer that echoes the id of another attempt.
type MismatchedResponseError struct {
	Sent   string
	Echoed string
}

// Error implements error.
func (e *MismatchedResponseError) Error() string {
	return "crossed answer: sent attempt " + e.Sent + ", echoed " + e.Echoed
}

// UnframedResponseError reports an HTTP/1 answer that only ends with its connection, so that nobody could
// tell whether it is whole.
type UnframedResponseError struct{}

// Error implements error.
func (*UnframedResponseError) Error() string { return "answer without length or chunks" }

// StatusError reports an answer whose status says that the server failed.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return "server answered status " + strconv.Itoa(e.Status) }

// UnresponsiveError reports a connection on which nothing moved for longer than allowed.
type UnresponsiveError struct{ Silent time.Duration }

// Error implements error.
func (e *UnresponsiveError) Error() string { return "connection silent for " + e.Silent.String() }

// KeyError reports an idempotency key that may have run elsewhere, so that it is not sent again.
type KeyError struct {
	Key     string
	Verdict KeyVerdict
	Entry   vm.Name // the entry VM that could not promise, if any
}

// Error implements error.
func (e *KeyError) Error() string {
	return "key not sent again: " + e.Verdict.String() + " at " + string(e.Entry)
}

// RouteError reports a request that matches no operation of the configuration.
type RouteError struct {
	Path   string
	Status int // 404 or 405
}

// Error implements error.
func (e *RouteError) Error() string {
	return "no operation for " + e.Path + ": status " + strconv.Itoa(e.Status)
}

// HeaderError reports a malformed header of a request.
type HeaderError struct {
	Header string
	Value  string
}

// Error implements error.
func (e *HeaderError) Error() string { return "malformed header " + e.Header + ": " + e.Value }

// BodyUnavailableError reports a request body that an earlier attempt already consumed.
type BodyUnavailableError struct{}

// Error implements error.
func (*BodyUnavailableError) Error() string { return "request body already consumed" }

// free reports that the attempt sent nothing, so that the next one costs no budget.
func (e *AttemptError) free() bool { return e.NotRun && e.Failure != FailureShed }

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
