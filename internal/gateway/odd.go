package gateway

import (
	"bytes"
	"time"

	"github.com/azureflow/azureflow/internal/kv"
	"github.com/azureflow/azureflow/internal/placement"
)

// How entries of another writer among those of the servers are kept from changing what is known of the servers.

// ignoreEntry records that the store has e, which is not accepted, under the key of row. What was known of the key stays
// until its writer writes again or the key is deleted: the last accepted entry, and a deletion.
func (c *storeCopy) ignoreEntry(row *copyRow, e *kv.Entry, wasRecreated bool) {
	switch {
	case row.entry.Deleted:
		row.entry.Version = e.Version
	case len(row.entry.Value) == 0: // nothing was known, or only entries that were not accepted
		row.entry = kv.Entry{Key: e.Key, Version: e.Version, Created: e.Created}
		c.recordChange(row, 0, false) // as for a deletion: copies that know one of this key agree with this one
	case wasRecreated:
		c.applyDeletion(row, &kv.Entry{Key: e.Key, Version: e.Version, Deleted: true})
	default:
		row.entry.Version = e.Version
	}
}

// learnHidden applies an entry of a peer that has the version of row: the store's entry of this version is not accepted,
// and the peer knows a later write of the server from before it than this copy does.
func (c *storeCopy) learnHidden(row *copyRow, e *kv.Entry) {
	if c.accepts == nil || e.Version != row.entry.Version || e.Deleted || row.entry.Deleted ||
		len(e.Value) == 0 || bytes.Equal(e.Value, row.entry.Value) {
		return
	}
	entry := *e
	fingerprint, number := c.inspect(&entry)
	if !c.accepts(&entry, &row.entry) || number.compare(row.latest) <= 0 {
		return
	}
	row.latest, row.latestAt = number, time.Now()
	row.entry = entry
	c.recordChange(row, fingerprint, false)
}

// acceptsServer reports whether e names a server that agrees with what is known of this incarnation of it. Within an
// incarnation a server keeps its service, its zone and its address.
func (f *follower) acceptsServer(e, known *kv.Entry) bool {
	if len(e.Value) == 0 {
		return false // it could not be decoded, and was recorded
	}
	s, err := f.catalog.DecodeServer(e.Key, e.Value)
	if err != nil {
		return false
	}
	if f.isEntryVM(s.Member.Address) {
		f.recordUnreadable(e, &StrangeEntryError{Problem: "its address is that of an entry VM"})
		return false
	}
	if len(known.Value) == 0 {
		return true
	}
	old, err := f.catalog.DecodeServer(known.Key, known.Value)
	if err != nil {
		return true
	}
	_, hasZone := f.registry.zones[s.Member.Zone]
	switch {
	case isOther(&s.Member, &old.Member):
		f.recordUnreadable(e, &StrangeEntryError{Problem: "it differs from the server that started at its time"})
	case !hasZone && s.Member.Zone != old.Member.Zone:
		f.recordUnreadable(e, &StrangeEntryError{Problem: "the deployment has no such zone"})
	case numberOf(&s) == (writeNumber{}) && numberOf(&old) != (writeNumber{}):
		f.recordUnreadable(e, &StrangeEntryError{Problem: "it is not numbered and earlier ones are"})
	default:
		return true
	}
	return false
}

// isOther reports whether a and b claim to be one incarnation and cannot be.
func isOther(a, b *placement.Member) bool {
	return a.Born.Equal(b.Born) && (a.Service != b.Service || a.Zone != b.Zone || a.Address != b.Address)
}

// numberOf returns the number that a server gave its entry.
func numberOf(s *ServerEntry) writeNumber {
	return writeNumber{born: s.Member.Born.UnixMilli(), seq: s.Seq}
}

// StrangeEntryError reports a complete entry that cannot be the server's own.
type StrangeEntryError struct{ Problem string }

func (e *StrangeEntryError) Error() string { return "entry of another writer: " + e.Problem }

// setEntryVMs records the addresses of entry VMs, which are no servers'.
func (f *follower) setEntryVMs(s *Settings) {
	addresses := make(map[string]bool)
	for _, a := range append([]string{s.Listen.Requests, s.Listen.Readiness, s.Listen.Directory, s.Listen.Peer}, s.Seeds...) {
		addresses[a] = true
	}
	f.entryVMs.Store(&addresses)
}

// isEntryVM reports whether an address is one on which an entry VM is known to listen.
func (f *follower) isEntryVM(address string) bool {
	if (*f.entryVMs.Load())[address] {
		return true
	}
	if f.listedVMs == nil {
		return false
	}
	for _, r := range f.listedVMs() {
		if address == r.Requests || address == r.Peer || address == r.Directory || address == r.Readiness {
			return true
		}
	}
	return false
}
