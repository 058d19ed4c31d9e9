package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/azureflow/azureflow/internal/kv"
)

// storeCopy is this entry VM's copy of the keys with one prefix. It is filled by reads of the store and by the
// copies of other entry VMs, in any order: for each key the highest version wins, so that nothing goes back.
// It has one user at a time.
type storeCopy struct {
	incarnation uint64 // of this copy; changes are counted within it
	change      uint64 // number of the last change
	rows        map[string]*copyRow
	version     kv.Version // of the store, up to which the copy is complete
	readAt      time.Time  // when the read that it reflects was asked for; zero: it was never filled
	digest      uint64     // of what the keys that are there mean; equal for copies that agree
	// fingerprint hashes what an entry means. Changes that keep it are not passed on.
	fingerprint func(e *kv.Entry) uint64
}

// copyRow is one key; a deleted one stays as a tombstone, so that an older copy does not bring it back.
type copyRow struct {
	entry       kv.Entry
	change      uint64
	fingerprint uint64 // 0 while deleted
}

// maxTombstones bounds the deleted keys that are remembered.
const maxTombstones = 4096

func newStoreCopy(fingerprint func(e *kv.Entry) uint64) *storeCopy {
	return &storeCopy{
		incarnation: max(1, rand.Uint64()), rows: make(map[string]*copyRow), fingerprint: fingerprint,
	}
}

// takeAll takes a complete list of the keys as of version, asked for at readAt. It reports whether anything of
// note changed.
func (c *storeCopy) takeAll(entries []kv.Entry, version kv.Version, readAt time.Time) bool {
	if version < c.version {
		return false
	}
	before := c.change
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Key] = true
		// The list may be another VM's, who missed that the key went and came back and so has its older version.
		if row := c.rows[e.Key]; row != nil && row.entry.Deleted && e.Version < row.entry.Version && row.entry.Version < version {
			e.Version = version
		}
		c.put(&e)
	}
	for key, row := range c.rows {
		if !listed[key] && !row.entry.Deleted && row.entry.Version <= version {
			c.put(&kv.Entry{Key: key, Version: version, Deleted: true})
		}
	}
	c.reached(version, readAt)
	return c.change != before
}

// takeChanges takes the keys that changed up to version, asked for at readAt. It reports whether anything of
// note changed.
func (c *storeCopy) takeChanges(entries []kv.Entry, version kv.Version, readAt time.Time) bool {
	before := c.change
	for i := range entries {
		c.put(&entries[i])
	}
	c.reached(version, readAt)
	return c.change != before
}

func (c *storeCopy) reached(version kv.Version, readAt time.Time) {
	c.version = max(c.version, version)
	if readAt.After(c.readAt) {
		c.readAt = readAt
	}
	c.prune()
}

// put takes one key if its version is higher than the one known.
func (c *storeCopy) put(e *kv.Entry) {
	row := c.rows[e.Key]
	if row == nil {
		row = &copyRow{}
		c.rows[e.Key] = row
	} else if e.Version < row.entry.Version || (e.Version == row.entry.Version && e.Deleted == row.entry.Deleted) {
		return
	}
	row.entry = *e
	fingerprint := uint64(0)
	if !e.Deleted {
		fingerprint = c.fingerprint(e)
	}
	if row.change != 0 && fingerprint == row.fingerprint {
		return
	}
	c.digest += fingerprint - row.fingerprint
	c.change++
	row.change, row.fingerprint = c.change, fingerprint
}

// agrees reports whether this copy means the same as one with digest as of version. A copy that is newer need
// not; one that is not newer and differs has missed a change that the other never noted, such as a key that
// went and came back between two of its reads.
func (c *storeCopy) agrees(digest uint64, version kv.Version) bool {
	return c.version > version || c.digest == digest
}

// prune forgets tombstones once there are too many.
func (c *storeCopy) prune() {
	if len(c.rows) <= maxTombstones {
		return
	}
	for key, row := range c.rows {
		if row.entry.Deleted {
			delete(c.rows, key)
		}
	}
	c.incarnation++ // readers of this copy start anew: they could miss a deletion
}

// since returns the keys that changed after change of the given incarnation, or all that are there if the
// asker's copy is not of this one.
func (c *storeCopy) since(incarnation, change uint64) (entries []kv.Entry, whole bool) {
	whole = incarnation != c.incarnation || change > c.change
	for _, row := range c.rows {
		if (whole && !row.entry.Deleted) || (!whole && row.change > change) {
			entries = append(entries, row.entry)
		}
	}
	return entries, whole
}

// entries returns the keys that are there.
func (c *storeCopy) entries() []kv.Entry {
	entries := make([]kv.Entry, 0, len(c.rows))
	for _, row := range c.rows {
		if !row.entry.Deleted {
			entries = append(entries, row.entry)
		}
	}
	return entries
}
