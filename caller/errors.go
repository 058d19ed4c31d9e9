package caller

import (
	"strconv"
	"time"
)

// Refusal describes why an entry VM did not return the response of the upstream.
type Refusal struct {
	Status     int
	Kind       string        // last part of the problem type, for example "deadline"
	Detail     string        //
	Constraint string        // constraint that led to the decision
	Decision   string        // decision ID, for `azureflow explain`
	RetryAfter time.Duration // 0: none given
}

// NotRunError reports a request that certainly did not run and will never run under its key.
type NotRunError struct {
	Refusal Refusal
	Cause   error // error of the last attempt that reached no entry VM, if there was no refusal
}

// Error implements error.
func (e *NotRunError) Error() string { return "not run: " + describe(&e.Refusal, e.Cause) }

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.Cause }

// UnknownError reports a request that may have run. To retry it later, pass Key and Previous in CallOptions.
type UnknownError struct {
	Key      string
	Previous []string // NAME/INCARNATION of the entry VMs that may have forwarded it
	Refusal  Refusal
	Cause    error
}

// Error implements error.
func (e *UnknownError) Error() string { return "outcome unknown: " + describe(&e.Refusal, e.Cause) }

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

func describe(r *Refusal, cause error) string {
	if r.Status != 0 {
		return "status " + strconv.Itoa(r.Status) + " " + r.Kind + ": " + r.Detail
	}
	if cause != nil {
		return cause.Error()
	}
	return "no entry VM reached"
}

// LookupError reports that no entry VM responded to a lookup and no earlier response is cached.
type LookupError struct {
	Service string
	Cause   error
}

// Error implements error.
func (e *LookupError) Error() string {
	text := "lookup of " + e.Service + " failed"
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *LookupError) Unwrap() error { return e.Cause }

// StatusError reports an unexpected HTTP status of an entry VM.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return "unexpected status " + strconv.Itoa(e.Status) }

// CutOffError reports a truncated response: its body ended early.
type CutOffError struct{ Cause error }

// Error implements error.
func (e *CutOffError) Error() string { return "response body truncated: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *CutOffError) Unwrap() error { return e.Cause }
