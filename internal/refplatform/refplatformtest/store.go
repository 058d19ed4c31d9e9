// Package platformtest holds fakes of the platform's services for tests: a store in memory whose
// leases lapse by time.Now, so that it works under testing/synctest, and a VM list.
//
// A test gives each client of its own (for example each zone) NewClient and sets faults on the
// client (SetFaults) or on the whole store (SetStoreFaults); SetHook decides call by call.
package refplatformtest

import "github.com/azureflow/azureflow/internal/standin/memkv"

// The fake store and what its faults, hooks and counts are made of.
type (
	// Store is the fake; it implements platform.Store as one client of its own.
	Store = memkv.Store
	// StoreOptions configure a Store.
	StoreOptions = memkv.Options
	// Client is one client of a Store, with faults and counts of its own.
	Client = memkv.Client
	// Faults are switched on for a store or for a client.
	Faults = memkv.Faults
	// Snapshot is an earlier state, for stale reads and for Restore.
	Snapshot = memkv.Snapshot
	// Call is what a Hook sees of a call.
	Call = memkv.Call
	// Verdict is what a Hook makes of a call.
	Verdict = memkv.Verdict
	// Counts is the number of calls by kind.
	Counts = memkv.Counts
)

// NewStore returns an empty Store.
func NewStore(o StoreOptions) *Store { return memkv.New(o) }
