package memkv

import (
	"maps"

	"github.com/azureflow/azureflow/internal/kv"
)

// Snapshot is the state of a store's keys at one version.
type Snapshot struct {
	version kv.Version
	records map[string]record
}

// Version returns the store's version at which the snapshot was taken.
func (s *Snapshot) Version() kv.Version { return s.version }

// Snapshot returns the present state.
func (s *Store) Snapshot() *Snapshot {
	e := s.engine
	e.lock()
	defer e.mu.Unlock()
	return &Snapshot{version: e.version, records: maps.Clone(e.records)}
}

// Restore puts the keys and the version back to an earlier state, as an operator who restores a
// backup does. Leases that were granted since are gone; versions are used again.
func (s *Store) Restore(snapshot *Snapshot) {
	e := s.engine
	e.lock()
	defer e.mu.Unlock()
	e.version = snapshot.version
	e.records = maps.Clone(snapshot.records)
	clear(e.leases)
	e.announce()
}
