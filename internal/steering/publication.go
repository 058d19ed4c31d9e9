package steering

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/azureflow/azureflow/internal/kv"
)

// PublicationID names one attempt to publish a revision: REVISION.VERSION.RANDOM, where VERSION is
// the version of the head that the attempt replaces. It distinguishes two publications of the same
// revision and is sufficient to determine whether the attempt took effect.
type PublicationID string

const randomDigits = 16 // of a PublicationID, hexadecimal

// publication is a PublicationID in parts.
type publication struct {
	revision Revision
	replaces kv.Version // of the head; 0: there was none
	random   string
}

func (p publication) id() PublicationID {
	return PublicationID(fmt.Sprintf("%d.%d.%s", p.revision, p.replaces, p.random))
}

// parsePublication returns the parts of id, or *PublicationIDError.
func parsePublication(id PublicationID) (publication, error) {
	parts := strings.Split(string(id), ".")
	if len(parts) != 3 || !isHex(parts[2], randomDigits) {
		return publication{}, &PublicationIDError{ID: id}
	}
	revision, revisionErr := strconv.ParseUint(parts[0], 10, 64)
	version, versionErr := strconv.ParseUint(parts[1], 10, 64)
	p := publication{Revision(revision), kv.Version(version), parts[2]}
	if revisionErr != nil || versionErr != nil || revision == 0 || p.id() != id {
		return publication{}, &PublicationIDError{ID: id}
	}
	return p, nil
}

func isHex(text string, digits int) bool {
	if len(text) != digits {
		return false
	}
	for _, r := range text {
		if !strings.ContainsRune("0123456789abcdef", r) {
			return false
		}
	}
	return true
}

// PublicationIDError reports a text that is not a publication id.
type PublicationIDError struct{ ID PublicationID }

// Error implements error.
func (e *PublicationIDError) Error() string {
	return "not a publication id: " + quote(string(e.ID))
}

// ConflictError reports that another publication changed the same service, or the platform file,
// first. Nothing of the publication is in force.
type ConflictError struct {
	Service  ServiceName // empty: the platform file
	Revision Revision    // the one that came first
	Base     Revision    // the one this publication was based on
}

// Error implements error.
func (e *ConflictError) Error() string {
	what := "the platform file"
	if e.Service != "" {
		what = "service " + string(e.Service)
	}
	return fmt.Sprintf("not accepted: %s was changed by revision %d first, this publication is based on revision %d", what, e.Revision, e.Base)
}

// NotAcceptedError reports a publication that certainly is not and will not be in force.
type NotAcceptedError struct{ Cause error }

// Error implements error.
func (e *NotAcceptedError) Error() string { return "not accepted: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotAcceptedError) Unwrap() error { return e.Cause }

// OutcomeUnknownError reports a publication that may have been accepted. Publisher.Settle
// determines the outcome.
type OutcomeUnknownError struct {
	Publication PublicationID
	Cause       error
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("unknown whether publication %s was accepted: %v", e.Publication, e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// BusyError reports that other publications were accepted first in every attempt.
type BusyError struct{ Attempts int }

// Error implements error.
func (e *BusyError) Error() string {
	return fmt.Sprintf("other publications were accepted first in %d attempts", e.Attempts)
}
