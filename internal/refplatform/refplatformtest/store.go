// Package refplatformtest provides fakes of the platform's services for tests: an in-memory store whose
// leases expire by time.Now, so that it works under testing/synctest, and a VM list.
//
// A test gives each client of its own (for example each zone) NewClient and sets faults on the
// client (SetFaults) or on the whole store (SetStoreFaults); SetHook decides for each call.
package refplatformtest

import "github.com/azureflow/azureflow/internal/standin/memkv"

// The fake store and the types of its faults, hooks and counts.
type (
	// Store is the fake; it implements refplatform.Store as one client of its own.
	Store = memkv.Store
	// StoreOptions configure a Store.
	StoreOptions = memkv.Options
	// Client is one client of a Store, with faults and counts of its own.
	Client = memkv.Client
	// Faults are injected into a store or a client.
	Faults = memkv.Faults
	// Snapshot is an earlier state, for stale reads and for Restore.
	Snapshot = memkv.Snapshot
	// Call describes a call to a Hook.
	Call = memkv.Call
	// Verdict is the decision of a Hook on a call.
	Verdict = memkv.Verdict
	// Counts is the number of calls by kind.
	Counts = memkv.Counts
)

// NewStore returns an empty Store.
func NewStore(o StoreOptions) *Store { return memkv.New(o) }
