package kv

import (
	"context"
	"fmt"
)

// StaleReader is a Store that also serves cheaper reads, whose data may be seconds old.
type StaleReader interface {
	Store
	// ListStale is List from a copy of the store that may lag by seconds.
	ListStale(ctx context.Context, prefix string) ([]Entry, Version, error)
}

// CompactedError reports a watch whose starting version is older than the history that the store retains,
// or of another era. The watcher has to list the keys again.
type CompactedError struct {
	Prefix string
	After  Version
}

// Error implements error.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("history of %s after version %s is no longer kept", e.Prefix, e.After)
}
