// Package refplatform is the client of the reference platform, which this repository's stand-ins implement: a
// key-value store and a VM list. The adapter platform/ at the root connects to the users' platform.
package refplatform

import (
	"context"

	"github.com/azureflow/azureflow/internal/kv"
	"github.com/azureflow/azureflow/internal/vm"
)

// The types of the store, as package kv defines them.
type (
	// Version orders the writes of the store; it rises with each write to any key.
	Version = kv.Version
	// LeaseID identifies a lease of the store; 0 means none.
	LeaseID = kv.LeaseID
	// Entry is a key of the store with its value.
	Entry = kv.Entry
	// Lease is a lease of the store as its holder knows it.
	Lease = kv.Lease
	// Store is the platform's key-value service.
	Store = kv.Store
)

// VMList is the platform's list of live and leaving VMs. It lags behind their actual state.
type VMList interface {
	VMs(ctx context.Context) ([]vm.VM, error)
}
