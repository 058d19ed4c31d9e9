package steering

import (
	"fmt"
	"time"
)

// Source is where a revision came from.
type Source string

// The sources.
const (
	SourceStore Source = "store"
	SourcePeer  Source = "peer"
)

// Status is the state of a Follower.
type Status struct {
	Revision    Revision      `json:"revision"` // in force; 0: none
	Publication PublicationID `json:"publication,omitempty"`
	PublishedAt time.Time     `json:"published_at"`
	AppliedAt   time.Time     `json:"taken_at"`
	Source      Source        `json:"source,omitempty"`
	Digest      Digest        `json:"digest"`

	StoreReached time.Time `json:"store_reached"` // time of the last response of the store
	StoreFailing time.Time `json:"store_failing"` // since when the store does not respond; zero if it does
	StoreError   string    `json:"store_error,omitempty"`
	PeersReached time.Time `json:"peers_answered"` // time of the last response of a peer

	// Unreadable is set while a higher revision cannot be read here.
	Unreadable *UnreadableRevision `json:"unreadable,omitempty"`
	// StoreBehind is set while the store's head is older than what is in force here.
	StoreBehind *StoreBehind `json:"store_behind,omitempty"`
}

// UnreadableRevision is a revision that a VM could not read; the previous one stays in force.
type UnreadableRevision struct {
	Revision Revision  `json:"revision"` // 0: the revision number could not be read either
	Reason   string    `json:"reason"`
	Since    time.Time `json:"since"`
}

// StoreBehind is the revision of a store's head that is older than the one in force.
type StoreBehind struct {
	Head  Revision  `json:"head"`
	Since time.Time `json:"since"`
}

// AlarmKind names an Alarm.
type AlarmKind string

// The kinds of alarm.
const (
	// AlarmStoreBehind: the store's head is older than what is in force (restored, stale read).
	AlarmStoreBehind AlarmKind = "store-behind"
	// AlarmForked: the store's head has the revision in force with another content, or a higher one
	// that was applied does not descend from the one before. Changes of the one before may be missing.
	AlarmForked AlarmKind = "forked"
	// AlarmUnreadable: a revision cannot be read; the previous one stays in force.
	AlarmUnreadable AlarmKind = "unreadable"
)

// Alarm is a condition that an operator has to know of.
type Alarm struct {
	Kind    AlarmKind `json:"kind"`
	InForce Revision  `json:"in_force"`
	Other   Revision  `json:"other"` // of the head, or the unreadable one; 0 if not known
	Reason  string    `json:"reason,omitempty"`
}

// Error implements error, so that an alarm can be logged as one.
func (a Alarm) Error() string {
	return fmt.Sprintf("%s: revision %d is in force, other revision %d %s", a.Kind, a.InForce, a.Other, a.Reason)
}

// Status returns the state of the follower.
func (f *Follower) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.status
}

// apply puts s in force if its revision is above the one in force, and reports whether it did.
func (f *Follower) apply(s *state, from Source) bool {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	if current := f.inForce.Load(); current != nil && s.configuration.Revision <= current.configuration.Revision {
		return false
	}
	c := s.configuration
	if c.Revision == 0 {
		return false
	}
	f.inForce.Store(s)
	f.recordApplied(s, from)
	f.options.OnRevision(c)
	return true
}

func (f *Follower) recordApplied(s *state, from Source) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := s.configuration
	f.status.Revision, f.status.Publication, f.status.PublishedAt = c.Revision, c.Publication, c.PublishedAt
	f.status.AppliedAt, f.status.Source, f.status.Digest = utcNow(), from, s.digests.combined()
	if u := f.status.Unreadable; u != nil && u.Revision <= c.Revision {
		f.status.Unreadable = nil
	}
}

func (f *Follower) recordStoreResult(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil {
		f.status.StoreReached, f.status.StoreFailing, f.status.StoreError = utcNow(), time.Time{}, ""
		return
	}
	if f.status.StoreFailing.IsZero() {
		f.status.StoreFailing = utcNow()
	}
	f.status.StoreError = err.Error()
}

func (f *Follower) recordPeerContact() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.status.PeersReached = utcNow()
}

func (f *Follower) reportUnreadable(revision Revision, err error) {
	f.mu.Lock()
	if u := f.status.Unreadable; u != nil && u.Revision == revision && u.Reason == err.Error() {
		f.mu.Unlock()
		return
	}
	f.status.Unreadable = &UnreadableRevision{Revision: revision, Reason: err.Error(), Since: utcNow()}
	f.mu.Unlock()
	f.options.OnAlarm(Alarm{Kind: AlarmUnreadable, InForce: f.Revision(), Other: revision, Reason: err.Error()})
}

// reportHeadMismatch records a head that is older than the configuration in force or has another
// publication of the same revision, and raises an alarm when that starts.
func (f *Follower) reportHeadMismatch(kind AlarmKind, h *head, have *Configuration) {
	if !f.recordStoreBehind(h) {
		return
	}
	f.options.OnAlarm(Alarm{Kind: kind, InForce: have.Revision, Other: h.Revision, Reason: describeMismatch(h, have)})
}

// raiseForkAlarm raises an alarm that h was applied although it does not descend from the configuration
// that was in force.
func (f *Follower) raiseForkAlarm(h *head, had *Configuration) {
	f.options.OnAlarm(Alarm{Kind: AlarmForked, InForce: h.Revision, Other: had.Revision, Reason: describeMismatch(h, had)})
}

func describeMismatch(h *head, had *Configuration) string {
	return "store: " + string(h.Publication) + ", in force before: " + string(had.Publication)
}

// recordStoreBehind sets the status for an outdated head and reports whether the alarm is due. The alarm
// is not repeated for the same head within alarmInterval: a store with lagging replicas returns an
// outdated head from time to time.
func (f *Follower) recordStoreBehind(h *head) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if b := f.status.StoreBehind; b != nil && b.Head == h.Revision {
		return false
	}
	f.status.StoreBehind = &StoreBehind{Head: h.Revision, Since: utcNow()}
	if f.alarmedHead == h.Publication && time.Since(f.alarmedAt) < alarmInterval {
		return false
	}
	f.alarmedHead, f.alarmedAt = h.Publication, time.Now()
	return true
}

// recordConsistentHead records a head that matches the configuration in force or is above it.
func (f *Follower) recordConsistentHead(h *head) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.status.StoreBehind = nil
	if h.Revision == f.status.Revision {
		f.status.Unreadable = nil
	}
}
