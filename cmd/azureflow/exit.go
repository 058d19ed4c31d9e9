package main

import (
	"errors"
	"io/fs"
	"net"
	"net/url"

	"github.com/azureflow/azureflow/internal/refplatform"
)

// Exit codes of every command.
const (
	exitDone        = 0
	exitInput       = 1 // the input is wrong, or the answer is a refusal
	exitUsage       = 2
	exitUnreachable = 3 // the system could not be reached, or its answer is still unknown
)

// inputError reports input that the command refuses.
type inputError struct{ reason string }

// Error implements error.
func (e *inputError) Error() string { return e.reason }

// unreachableError reports a part of the system that gave no answer.
type unreachableError struct {
	what  string
	cause error
}

// Error implements error.
func (e *unreachableError) Error() string { return e.what + " not reached: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *unreachableError) Unwrap() error { return e.cause }

// exitCode returns the exit code for err.
func exitCode(err error) int {
	var (
		unreachable *unreachableError
		unavailable *refplatform.UnavailableError
		effect      *refplatform.EffectUnknownError
		network     net.Error
		request     *url.Error
		file        *fs.PathError // would pass for a net.Error: it has the same methods
	)
	switch {
	case errors.As(err, &file):
		return exitInput
	case errors.As(err, &unreachable), errors.As(err, &unavailable), errors.As(err, &effect),
		errors.As(err, &network), errors.As(err, &request):
		return exitUnreachable
	}
	return exitInput
}
