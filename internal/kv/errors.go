package kv

import "fmt"

// NotFoundError reports a key that the store does not hold.
type NotFoundError struct{ Key string }

// Error implements error.
func (e *NotFoundError) Error() string { return "key not found: " + e.Key }

// ConflictError reports a compare-and-swap whose expected version was not the current one.
type ConflictError struct {
	Key      string
	Expected Version
	Current  Version
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %s is at version %s, expected %s", e.Key, e.Current, e.Expected)
}

// UnavailableError reports a call that certainly had no effect because the platform was unreachable.
type UnavailableError struct {
	Op    string
	Cause error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform unavailable: %s: %v", e.Op, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// EffectUnknownError reports a write whose response was lost: it may have taken effect.
type EffectUnknownError struct {
	Op    string
	Cause error
}

// Error implements error.
func (e *EffectUnknownError) Error() string {
	return fmt.Sprintf("effect unknown: %s: %v", e.Op, e.Cause)
}

// Unwrap returns the cause.
func (e *EffectUnknownError) Unwrap() error { return e.Cause }

// LeaseExpiredError reports a lease that the store no longer holds.
type LeaseExpiredError struct {
	ID        LeaseID
	EraPassed bool // the store came back older since it granted the lease
}

// Error implements error.
func (e *LeaseExpiredError) Error() string { return fmt.Sprintf("lease %d expired", e.ID) }

// ValueTooLargeError reports a value above the store's limit.
type ValueTooLargeError struct {
	Key   string
	Bytes int
	Limit int // bytes
}

// Error implements error.
func (e *ValueTooLargeError) Error() string {
	return fmt.Sprintf("value of %s is %d bytes, limit %d", e.Key, e.Bytes, e.Limit)
}
