package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/azureflow/azureflow/internal/kv"
	"github.com/azureflow/azureflow/internal/peer"
)

// Times in which what a store that came back older lacks is written again. What is still missing then is gone. For
// servers it is that of entries that expired in an outage.
const (
	// Of what the operator wrote: by the rules the bounds hold in full once the store was undisturbed for 4 s, and an
	// evacuation may take 2.5 s. To send to an evacuated zone costs more than to leave one unused for this time.
	operatorRewriteTime = 6500 * time.Millisecond
	// Of entry VMs: each renews its lease within presenceRenewInterval and lists itself again after at most relistJitter;
	// the rest is for the calls. The directory may name one that is gone for 7 s.
	relistTime   = presenceRenewInterval + relistJitter + 600*time.Millisecond
	relistJitter = time.Second // spreads the writes of entry VMs whose leases are gone, two or three each
)

// rewindState is what a copy knows of the store's eras. A later era always wins. With the first update of it, entries
// that the copy lacks in the new era are marked as vanished, since their writers write them again; numbers of writes are
// kept, so that a server that was leaving or gone does not return with an entry of the older state. The copy is of one
// era again once an update was complete.
type rewindState struct {
	era         kv.Era    // the latest that is known
	roseAt      time.Time // when it was known; zero: no rise was seen
	firstAt     time.Time // first update, if the store had come back older before; zero: it had not
	isRising    bool      // the update that is being applied is of a later era than the copy is complete for
	rewriteTime time.Duration
	// hidesReturned is set if entries that were deleted do not return with the older state within rewriteTime. It is for
	// entries without numbers that lapse if their writer is gone.
	hidesReturned bool
}

// beginUpdate is called before an update as of version is applied, which is not of an earlier era.
func (c *storeCopy) beginUpdate(version kv.Version) {
	era := version.Era()
	c.rewind.isRising = c.version != 0 && era > c.version.Era()
	if era <= c.rewind.era {
		return
	}
	c.rewind.era = era
	now := time.Now()
	if c.version == 0 {
		c.rewind.firstAt = now
		return // the first read
	}
	isOver := now.Sub(c.rewind.roseAt) >= c.rewind.rewriteTime
	c.rewind.roseAt = now
	for _, row := range c.rows {
		row.hasVanished = row.hasVanished && !isOver
		if row.latest != (writeNumber{}) {
			row.latestAt = now // entries of the older state count as written late from now on
		}
	}
}

// hasReturned reports whether e is the write that was known before its key was deleted, in an earlier era.
func (c *storeCopy) hasReturned(e *kv.Entry) bool {
	if !c.rewind.hidesReturned || !c.rewind.isWithin(c.rewind.rewriteTime, time.Now()) {
		return false
	}
	row := c.rows[e.Key]
	return row != nil && row.entry.Deleted && row.lastLive.Era() < e.Version.Era() &&
		row.lastLive.Revision() == e.Version.Revision()
}

// isWithin reports whether the era rose less than d before now.
func (r *rewindState) isWithin(d time.Duration, now time.Time) bool {
	return !r.roseAt.IsZero() && now.Sub(r.roseAt) < d
}

// mayLackWrites reports whether the store may have come back older less than d before now, so that its writers may still
// write again what it lost. A copy that was first read in a later era cannot tell when the era rose.
func (r *rewindState) mayLackWrites(d time.Duration, now time.Time) bool {
	return r.isWithin(d, now) || !r.firstAt.IsZero() && now.Sub(r.firstAt) < d
}

// isOfOneEra reports whether the copy is complete up to a version of the latest era that is known.
func (c *storeCopy) isOfOneEra() bool { return c.version.Era() == c.rewind.era }

// vanishedEntries returns the entries that the store lacks since it came back older and that may be written again.
func (c *storeCopy) vanishedEntries(now time.Time) []kv.Entry {
	if !c.rewind.isWithin(c.rewind.rewriteTime, now) {
		return nil
	}
	var entries []kv.Entry
	for _, row := range c.rows {
		if row.hasVanished {
			e := row.entry
			e.Deleted = false
			entries = append(entries, e)
		}
	}
	return entries
}

// isEarlierEra reports whether a peer's copy is of an earlier era than the latest that c knows.
func isEarlierEra(m *peer.StoreCopy, c *storeCopy) bool {
	return kv.Version(m.GetVersion()).Era() < c.rewind.era
}

// isLaterEra reports whether a peer's copy is of a later era than c.
func isLaterEra(m *peer.StoreCopy, c *storeCopy) bool {
	return kv.Version(m.GetVersion()).Era() > c.rewind.era
}

// hasLaterEra reports whether this VM knows of a later era of the store than a peer that replied.
func (f *follower) hasLaterEra(r *peer.FetchStoreReply) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return isEarlierEra(r.GetServers(), f.servers) || isEarlierEra(r.GetOperator(), f.operator)
}

// storeEra returns the latest era of the store that is known.
func (f *follower) storeEra() kv.Era {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.servers.rewind.era, f.operator.rewind.era)
}

// logRise logs and reports that a copy that was filled before has learned of a later era than old.
func logRise(log logrus.FieldLogger, name string, old kv.Era, c *storeCopy) bool {
	if c.rewind.era == old || c.rewind.roseAt.IsZero() {
		return false
	}
	log.WithFields(logrus.Fields{
		"copy": name, "old_era": uint32(old), "new_era": uint32(c.rewind.era), "store_version": c.version,
		"complete": c.isOfOneEra(),
	}).Warn("store era rose")
	return true
}
