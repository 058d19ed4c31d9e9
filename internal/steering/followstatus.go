package steering

import (
	"fmt"
	"time"
)

// Source says where a revision came from.
type Source string

// The sources.
const (
	SourceStore Source = "store"
	SourcePeer  Source = "peer"
)

// Status is what a Follower knows of itself.
type Status struct {
	Revision    Revision      `json:"revision"` // in force; 0: none
	Publication PublicationID `json:"publication,omitempty"`
	PublishedAt time.Time     `json:"published_at"`
	AppliedAt   time.Time     `json:"taken_at"`
	Source      Source        `json:"source,omitempty"`
	Digest      Digest        `json:"digest"`

	StoreReached time.Time `json:"store_reached"` // the last answer of the store
	StoreFailing time.Time `json:"store_failing"` // since when it does not answer; zero if it does
	StoreError   string    `json:"store_error,omitempty"`
	PeersReached time.Time `json:"peers_answered"` // the last answer of a peer

	// Unreadable is set while a higher revision cannot be read here.
	Unreadable *UnreadableRevision `json:"unreadable,omitempty"`
	// StoreBehind is set while the store's head is older than what is in force here.
	StoreBehind *StoreBehind `json:"store_behind,omitempty"`
}

// UnreadableRevision is a revision that a VM could not read; the one before stays in force.
type UnreadableRevision struct {
	Revision Revision  `json:"revision"` // 0: not even that could be read
	Reason   string    `json:"reason"`
	Since    time.Time `json:"since"`
}

// StoreBehind says how far the store's head went back.
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
	// that was taken up does not go on from the one before. Changes of that one may be missing.
	AlarmForked AlarmKind = "forked"
	// AlarmUnreadable: a revision cannot be read; the one before stays in force.
	AlarmUnreadable AlarmKind = "unreadable"
)

// Alarm is a condition that an operator has to know.
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

// Status returns what the follower knows of itself.
func (f *Follower) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.status
}

// take puts s in force if it is higher than what is, and reports whether it did.
func (f *Follower) take(s *state, from Source) bool {
	f.taking.Lock()
	defer f.taking.Unlock()
	if current := f.inForce.Load(); current != nil && s.configuration.Revision <= current.configuration.Revision {
		return false
	}
	c := s.configuration
	if c.Revision == 0 {
		return false
	}
	f.inForce.Store(s)
	f.noteTaken(s, from)
	f.options.OnRevision(c)
	return true
}

func (f *Follower) noteTaken(s *state, from Source) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := s.configuration
	f.status.Revision, f.status.Publication, f.status.PublishedAt = c.Revision, c.Publication, c.PublishedAt
	f.status.AppliedAt, f.status.Source, f.status.Digest = utcNow(), from, s.digests.all()
	if u := f.status.Unreadable; u != nil && u.Revision <= c.Revision {
		f.status.Unreadable = nil
	}
}

func (f *Follower) noteStore(err error) {
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

func (f *Follower) notePeers() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.status.PeersReached = utcNow()
}

func (f *Follower) noteUnreadable(revision Revision, err error) {
	f.mu.Lock()
	if u := f.status.Unreadable; u != nil && u.Revision == revision && u.Reason == err.Error() {
		f.mu.Unlock()
		return
	}
	f.status.Unreadable = &UnreadableRevision{Revision: revision, Reason: err.Error(), Since: utcNow()}
	f.mu.Unlock()
	f.options.OnAlarm(Alarm{Kind: AlarmUnreadable, InForce: f.Revision(), Other: revision, Reason: err.Error()})
}

// noteBehind notes a head that is not the one in force, and raises the alarm when that begins.
func (f *Follower) noteBehind(kind AlarmKind, h *head, have *Configuration) {
	if !f.setBehind(h) {
		return
	}
	f.options.OnAlarm(Alarm{Kind: kind, InForce: have.Revision, Other: h.Revision, Reason: twoPublications(h, have)})
}

// alarmForked says that h was taken up although it does not go on from what was in force.
func (f *Follower) alarmForked(h *head, had *Configuration) {
	f.options.OnAlarm(Alarm{Kind: AlarmForked, InForce: h.Revision, Other: had.Revision, Reason: twoPublications(h, had)})
}

func twoPublications(h *head, had *Configuration) string {
	return "store: " + string(h.Publication) + ", in force before: " + string(had.Publication)
}

// setBehind sets the status for a head that went back and reports whether the alarm is due: not again
// within a while for the same head, which a store with lagging replicas shows now and then.
func (f *Follower) setBehind(h *head) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if b := f.status.StoreBehind; b != nil && b.Head == h.Revision {
		return false
	}
	f.status.StoreBehind = &StoreBehind{Head: h.Revision, Since: utcNow()}
	if f.behind == h.Publication && time.Since(f.behindAt) < alarmInterval {
		return false
	}
	f.behind, f.behindAt = h.Publication, time.Now()
	return true
}

// noteSound notes a head that agrees with what is in force or is above it.
func (f *Follower) noteSound(h *head) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.status.StoreBehind = nil
	if h.Revision == f.status.Revision {
		f.status.Unreadable = nil
	}
}
