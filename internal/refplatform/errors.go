package refplatform

import "github.com/azureflow/azureflow/internal/kv"

// The errors of the store, as package kv defines them.
type (
	// NotFoundError reports a key that the store does not hold.
	NotFoundError = kv.NotFoundError
	// ConflictError reports a compare-and-swap whose expected version was not the current one.
	ConflictError = kv.ConflictError
	// UnavailableError reports a call that certainly had no effect because the store was not reached.
	UnavailableError = kv.UnavailableError
	// EffectUnknownError reports a write whose answer was lost: it may have taken effect.
	EffectUnknownError = kv.EffectUnknownError
	// LeaseLapsedError reports a lease that the store no longer holds.
	LeaseLapsedError = kv.LeaseExpiredError
	// ValueTooLargeError reports a value above the store's limit.
	ValueTooLargeError = kv.ValueTooLargeError
)
