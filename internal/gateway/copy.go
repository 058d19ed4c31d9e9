package gateway

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azureflow/azureflow/internal/kv"
	"github.com/azureflow/azureflow/internal/peer"
)

// storeCopy is this entry VM's copy of the keys with one prefix. It is filled by reads of the store and by copies of
// other entry VMs, in any order: for each key the highest version wins, so that no key goes back to an older version, and
// none to an earlier era of the store (see rewindState). A store may execute a write long after it was sent, when later ones of the same writer have taken effect: where the
// values are numbered, such a write does not change the copy. It is not safe for concurrent use.
type storeCopy struct {
	incarnation uint64 // of this copy; change numbers are valid within it
	change      uint64 // number of the last change
	rows        map[string]*copyRow
	tombstones  int        // rows of deleted keys
	version     kv.Version // of the store, up to which the copy is complete
	readAt      time.Time  // when the read that it reflects was requested; zero: it was never filled
	digest      uint64     // sum of the fingerprints of the keys that exist; equal for copies that agree
	rewind      rewindState
	// inspect returns a hash of the content of an entry that matters here, and the number that its writer gave it.
	// Changes that keep the hash are not propagated. It may remove content of e that does not matter.
	inspect func(e *kv.Entry) (fingerprint uint64, number writeNumber)
	// accepts, if set, reports whether e, which was inspected, may replace known, the last that was accepted (without a
	// value: none). An entry that is not accepted changes nothing: see ignoreEntry.
	accepts func(e, known *kv.Entry) bool
	// onOutdated, if set, is called for each entry whose write was executed late. latest is the number known before.
	onOutdated func(e *kv.Entry, latest writeNumber)
}

// writeNumber orders the values that one writer wrote to a key. The zero value says that they are not numbered.
type writeNumber struct {
	born int64  // start of the writer's incarnation, which begins to count anew; Unix milliseconds
	seq  uint64 // within the incarnation
}

func (n writeNumber) compare(o writeNumber) int {
	return cmp.Or(cmp.Compare(n.born, o.born), cmp.Compare(n.seq, o.seq))
}

// copyRow is one key. A deleted key stays as a tombstone, so that an older copy does not restore it. The tombstone keeps
// the last value, which tells peers the number of the last write.
type copyRow struct {
	entry       kv.Entry
	latest      writeNumber // highest number of a write
	latestAt    time.Time   // of the last change of latest, or of the deletion
	change      uint64
	fingerprint uint64     // 0 while deleted
	lastLive    kv.Version // before the deletion
	hasVanished bool       // deleted because the store that came back older lacks it; it may be written again
}

// maxTombstones is the number of tombstones above which all of them are removed.
const maxTombstones = 4096

// lateWriteWindow is the time in which a write with a number below the latest counts as executed late. The platform's
// store executes a call at most seconds late; a server whose clock was set back before it started again is used after it.
const lateWriteWindow = 30 * time.Second

func newStoreCopy(inspect func(e *kv.Entry) (fingerprint uint64, number writeNumber)) *storeCopy {
	return &storeCopy{
		incarnation: max(1, rand.Uint64()), rows: make(map[string]*copyRow), inspect: inspect,
	}
}

// inspectValue inspects an entry whose complete value matters and that is not numbered.
func inspectValue(e *kv.Entry) (fingerprint uint64, number writeNumber) {
	return xxhash.Sum64String(e.Key + "\x00" + string(e.Value)), writeNumber{}
}

// applyList applies a complete list of the keys as of version, requested at readAt. It reports whether a fingerprint
// changed.
func (c *storeCopy) applyList(entries []kv.Entry, version kv.Version, readAt time.Time) bool {
	if version < c.version || version.Era() < c.rewind.era {
		return false
	}
	c.beginUpdate(version)
	previousChange := c.change
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Key] = true
		if c.hasReturned(&e) {
			continue
		}
		// The list may come from another VM that missed changes after which the key was as before, and so has its older
		// version.
		if row := c.rows[e.Key]; row != nil && e.Version < row.entry.Version && row.entry.Version < version {
			e.Version = version
		}
		c.applyEntry(&e)
	}
	for key, row := range c.rows {
		if !listed[key] && !row.entry.Deleted && row.entry.Version <= version {
			c.applyEntry(&kv.Entry{Key: key, Version: version, Deleted: true})
		}
	}
	c.advanceTo(version, readAt)
	return c.change != previousChange
}

// applyChanges applies the keys that changed up to version, requested at readAt. It reports whether a fingerprint
// changed.
func (c *storeCopy) applyChanges(entries []kv.Entry, version kv.Version, readAt time.Time) bool {
	if version.Era() != c.rewind.era {
		return false // not all that differs from this copy
	}
	c.beginUpdate(version)
	changed := c.applyEntries(entries)
	c.advanceTo(version, readAt)
	return changed
}

// applyEntries applies changed keys without a claim about the others. It reports whether a fingerprint changed.
func (c *storeCopy) applyEntries(entries []kv.Entry) bool {
	previousChange := c.change
	for i := range entries {
		// The copy is complete up to its version, so a key that it lacks was deleted since: the changes come from an entry
		// VM that has not read the store for longer.
		e := &entries[i]
		row := c.rows[e.Key]
		if e.Version > c.version || row != nil && !row.entry.Deleted {
			c.applyEntry(e)
		}
	}
	return c.change != previousChange
}

func (c *storeCopy) advanceTo(version kv.Version, readAt time.Time) {
	c.version = max(c.version, version)
	c.confirm(readAt)
	c.pruneTombstones()
}

// confirm records that the copy reflects a read that was requested at readAt.
func (c *storeCopy) confirm(readAt time.Time) {
	if readAt.After(c.readAt) {
		c.readAt = readAt
	}
}

// applyEntry applies one key if its version is higher than the stored one.
func (c *storeCopy) applyEntry(e *kv.Entry) {
	row := c.rows[e.Key]
	if row == nil {
		row = &copyRow{}
		c.rows[e.Key] = row
	} else if e.Version < row.entry.Version || (e.Version == row.entry.Version && e.Deleted == row.entry.Deleted) {
		c.learnHidden(row, e)
		return
	}
	if e.Deleted {
		c.applyDeletion(row, e)
		return
	}
	entry := *e
	fingerprint, number := c.inspect(&entry)
	wasRecreated := !row.entry.Deleted && row.entry.Version != 0 &&
		e.Created.Era() == row.entry.Version.Era() && e.Created > row.entry.Version
	if c.accepts != nil && !c.accepts(&entry, &row.entry) {
		c.ignoreEntry(row, &entry, wasRecreated)
		return
	}
	if row.isOutdated(number, wasRecreated) {
		if c.onOutdated != nil {
			c.onOutdated(&entry, row.latest)
		}
		if wasRecreated {
			c.applyDeletion(row, &kv.Entry{Key: e.Key, Version: e.Version, Deleted: true})
		}
		row.entry.Version = e.Version
		return
	}
	if number != (writeNumber{}) && number != row.latest {
		row.latest, row.latestAt = number, time.Now()
	}
	if row.entry.Deleted {
		c.tombstones--
	}
	row.entry, row.hasVanished = entry, false
	c.recordChange(row, fingerprint, wasRecreated)
}

// applyDeletion makes row a tombstone. The deletion of a peer has the value that the peer knew last.
func (c *storeCopy) applyDeletion(row *copyRow, e *kv.Entry) {
	value := row.entry.Value
	if len(e.Value) > 0 {
		known := *e
		if _, number := c.inspect(&known); number.compare(row.latest) > 0 {
			value, row.latest = known.Value, number
		}
	}
	row.latestAt = time.Now()
	if !row.entry.Deleted {
		c.tombstones++
		row.lastLive = row.entry.Version
		row.hasVanished = c.rewind.isRising && row.lastLive != 0
	}
	row.entry = kv.Entry{Key: e.Key, Version: e.Version, Deleted: true}
	if row.latest != (writeNumber{}) || row.hasVanished {
		row.entry.Value = value
	}
	c.recordChange(row, 0, false)
}

// recordChange records the fingerprint of row after a change, which is propagated if the fingerprint differs, or in any
// case if force is set.
func (c *storeCopy) recordChange(row *copyRow, fingerprint uint64, force bool) {
	if row.change != 0 && fingerprint == row.fingerprint && !force {
		return
	}
	c.digest += fingerprint - row.fingerprint
	c.change++
	row.change, row.fingerprint = c.change, fingerprint
}

// isOutdated reports whether a write with number was executed after later ones of the same writer. A key that was
// deleted in between does not return with the write that was known before, unless the store came back older without it.
func (r *copyRow) isOutdated(number writeNumber, wasRecreated bool) bool {
	if number == (writeNumber{}) || r.latest == (writeNumber{}) || time.Since(r.latestAt) > lateWriteWindow {
		return false
	}
	order := number.compare(r.latest)
	return order < 0 || order == 0 && (r.entry.Deleted && !r.hasVanished || wasRecreated)
}

// isConsistentWith reports whether this copy is consistent with one that has digest as of version. A newer copy may
// differ. One that is not newer and differs has missed a change that the other never recorded, such as a key that was
// deleted and created again between two of the other's reads.
func (c *storeCopy) isConsistentWith(digest uint64, version kv.Version) bool {
	return c.version > version || c.digest == digest
}

// describe returns what tells a peer whether this copy agrees with its own.
func (c *storeCopy) describe() *peer.StoreCopy {
	return &peer.StoreCopy{Version: uint64(c.version), Digest: c.digest}
}

// pruneTombstones removes the tombstones once there are too many.
func (c *storeCopy) pruneTombstones() {
	if c.tombstones <= maxTombstones {
		return
	}
	c.tombstones = 0
	for key, row := range c.rows {
		if row.entry.Deleted {
			delete(c.rows, key)
		}
	}
	c.incarnation++ // readers of this copy must fetch it completely: they could miss a deletion
}

// changesSince returns the keys that changed after change of the given incarnation, or all that exist if the
// requester's position is not in this incarnation.
func (c *storeCopy) changesSince(incarnation, change uint64) (entries []kv.Entry, complete bool) {
	complete = incarnation != c.incarnation || change > c.change
	for _, row := range c.rows {
		if (complete && !row.entry.Deleted) || (!complete && row.change > change) {
			entries = append(entries, row.entry)
		}
	}
	return entries, complete
}

// entries returns the keys that exist.
func (c *storeCopy) entries() []kv.Entry {
	entries := make([]kv.Entry, 0, len(c.rows))
	for _, row := range c.rows {
		if !row.entry.Deleted {
			entries = append(entries, row.entry)
		}
	}
	return entries
}
