package caller

import (
	"strconv"
	"time"
)

// Refusal is what an entry VM said of a request that it did not answer with the upstream's answer.
type Refusal struct {
	Status     int
	Kind       string        // last part of the problem's type, for example "deadline"
	Detail     string        //
	Constraint string        // what bound the decision
	Decision   string        // decision id, for `azureflow explain`
	RetryAfter time.Duration // 0: none given
}

// NotRunError reports a request that certainly did not run and never will under its key.
type NotRunError struct {
	Refusal Refusal
	Cause   error // of the last sending that reached no entry VM, if there was no refusal
}

// Error implements error.
func (e *NotRunError) Error() string { return "not run: " + describe(&e.Refusal, e.Cause) }

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.Cause }

// UnknownError reports a request that may have run. Key and Previous allow to ask again later:
// pass them in CallOptions.
type UnknownError struct {
	Key      string
	Previous []string // NAME/INCARNATION of the entry VMs that may have sent it
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

// LookupError reports that no entry VM answered a lookup and no earlier answer is known.
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

// CutOffError reports an answer whose body ended early: the answer is not whole.
type CutOffError struct{ Cause error }

// Error implements error.
func (e *CutOffError) Error() string { return "answer cut off: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *CutOffError) Unwrap() error { return e.Cause }
