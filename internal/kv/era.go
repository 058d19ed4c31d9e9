package kv

import "fmt"

// Era counts how often a store came back from a copy older than what it had acknowledged. Each time it rises by one and
// the store's revisions go back, so that they are given out again. A store that does not say has era 0.
type Era uint32

// A version has its era in the upper bits, so that comparing two versions compares their eras first. In era 0 a version
// is the store's revision.
const (
	revisionBits = 44 // at 1,200 writes a second, the most that a deployment allows, enough for 460 years
	MaxEra       = Era(1<<(64-revisionBits) - 1)
	MaxRevision  = uint64(1<<revisionBits - 1)
)

// NewVersion returns the version with revision in era. Errors: *RangeError.
func NewVersion(era Era, revision uint64) (Version, error) {
	if era > MaxEra || revision > MaxRevision {
		return 0, &RangeError{Era: era, Revision: revision}
	}
	return Version(uint64(era)<<revisionBits | revision), nil
}

// FirstOf returns a version of era below all that the store gives out in it: of content that is known to be in the store
// since the era began.
func FirstOf(era Era) Version { return Version(uint64(era) << revisionBits) }

// Era returns the era in which the store gave out v.
func (v Version) Era() Era { return Era(uint64(v) >> revisionBits) }

// Revision returns the store's own number of v within its era.
func (v Version) Revision() uint64 { return uint64(v) & MaxRevision }

// String returns the revision, after the era and a slash if that is not 0.
func (v Version) String() string {
	if v.Era() == 0 {
		return fmt.Sprint(v.Revision())
	}
	return fmt.Sprintf("%d/%d", v.Era(), v.Revision())
}

// RangeError reports an era or a revision that a version cannot hold.
type RangeError struct {
	Era      Era
	Revision uint64
}

// Error implements error.
func (e *RangeError) Error() string {
	return fmt.Sprintf("era %d with revision %d is out of range", e.Era, e.Revision)
}

// PassedEraError reports a conditional write that was not sent, since its expected version is of an era that has passed:
// the store may have given the same revision to another write since.
type PassedEraError struct {
	Key      string
	Expected Version
	Current  Era
}

// Error implements error.
func (e *PassedEraError) Error() string {
	return fmt.Sprintf("key %s is expected at version %s, but the store is in era %d", e.Key, e.Expected, e.Current)
}
