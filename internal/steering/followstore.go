package steering

import (
	"context"
	"time"

	"github.com/azureflow/azureflow/internal/kv"
)

// followStore watches the head while this VM follows the store itself.
func (f *Follower) followStore(ctx context.Context) {
	waits := newWaits()
	after, known := kv.Version(0), false
	for ctx.Err() == nil {
		if !f.options.WatchStore() {
			known = false
			pause(ctx, f.interval(f.options.HeadPoll))
			continue
		}
		version, err := f.watchOnce(ctx, after, known)
		if err != nil {
			known = false
			f.fetchFromPeers(ctx)
			pause(ctx, waits.NextBackOff())
			continue
		}
		after, known = version, true
		waits.Reset()
	}
}

// watchOnce reads the head at first, and later waits for its next change. It returns the version
// after which to watch on.
func (f *Follower) watchOnce(ctx context.Context, after kv.Version, known bool) (kv.Version, error) {
	if err := f.budget.Wait(ctx); err != nil {
		return 0, err
	}
	if !known {
		h, err := f.readStore(ctx)
		return h.version, err
	}
	before := f.inForce.Load()
	entries, version, err := f.options.Store.Watch(ctx, HeadKey, after)
	f.noteStore(err)
	if err != nil {
		return 0, err
	}
	for _, entry := range entries {
		if entry.Key != HeadKey || entry.Deleted {
			continue
		}
		h, err := decodeHead(entry.Value)
		if err != nil {
			f.noteUnreadable(0, err)
			continue
		}
		f.setLastHead(headAt{h, entry.Version, entry.Value})
		if err := f.takeHead(ctx, h, before); err != nil {
			return 0, err
		}
	}
	return version, nil
}

// guardStore reads the head now and then beside the watch, which may have gone silent. A VM that
// follows its peers reads it only after it had no answer from them for long.
func (f *Follower) guardStore(ctx context.Context) {
	for pause(ctx, f.interval(f.options.HeadPoll)) {
		if !f.options.WatchStore() && f.Current() != nil && f.peersAnswered(f.options.StoreFallback) {
			continue
		}
		if !f.budget.Allow() {
			continue
		}
		if _, err := f.readStore(ctx); err != nil {
			f.fetchFromPeers(ctx)
		}
	}
}

// readStore reads the head and takes up what it describes.
func (f *Follower) readStore(ctx context.Context) (headAt, error) {
	ctx, cancel := context.WithTimeout(ctx, defaultStoreTimeout)
	defer cancel()
	before := f.inForce.Load()
	h, err := readHeadAfter(ctx, f.options.Store, f.lastHead())
	if isEncoding(err) {
		f.noteStore(nil)
		f.noteUnreadable(0, err)
		return headAt{}, err
	}
	f.noteStore(err)
	if err != nil {
		return headAt{}, err
	}
	f.setLastHead(h)
	return h, f.takeHead(ctx, h.head, before)
}

// lastHead returns the head that was last read.
func (f *Follower) lastHead() headAt {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.last
}

func (f *Follower) setLastHead(h headAt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.last = h
}

// takeHead takes up the revision of h if it is higher than the one that was in force before h was
// read. It returns only failures of the store.
func (f *Follower) takeHead(ctx context.Context, h *head, before *state) error {
	if !f.isNewer(h, before) || f.failedLately(h.Publication) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, defaultStoreTimeout)
	defer cancel()
	s, err := loadState(ctx, &budgeted{f.options.Store, f.budget}, h, f.inForce.Load())
	if isEncoding(err) {
		f.noteFailed(h.Publication)
		f.noteUnreadable(h.Revision, err)
		return nil
	}
	if err != nil {
		f.noteStore(err)
		return err
	}
	forked := f.forkedFrom(ctx, h, before)
	if f.take(s, SourceStore) && forked {
		f.alarmForked(h, before.configuration)
	}
	return nil
}

// forkedFrom reports whether h does not go on from what was in force: the store went back and a
// publication was made there that did not know of it.
func (f *Follower) forkedFrom(ctx context.Context, h *head, before *state) bool {
	if before == nil {
		return false
	}
	have := before.configuration
	made, known := h.publicationAt(have.Revision)
	if !known {
		earlier, err := loadHistory(ctx, &budgeted{f.options.Store, f.budget}, h)
		if err != nil {
			return false
		}
		made, known = madeRevision(earlier, have.Revision)
	}
	return known && made != have.Publication
}

// isNewer compares h with what was in force and raises the alarm for a head that went back.
func (f *Follower) isNewer(h *head, before *state) bool {
	if before == nil {
		return h.Revision > 0
	}
	have := before.configuration
	switch {
	case h.Revision < have.Revision:
		f.noteBehind(AlarmStoreBehind, h, have)
		return false
	case h.Revision == have.Revision && h.Publication != have.Publication:
		f.noteBehind(AlarmForked, h, have)
		return false
	}
	f.noteSound(h)
	return h.Revision > have.Revision
}

// failedLately reports whether a publication could not be read a short while ago.
func (f *Follower) failedLately(id PublicationID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failed == id && time.Since(f.failedAt) < unreadableRetry
}

func (f *Follower) noteFailed(id PublicationID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failed, f.failedAt = id, time.Now()
}

// budgeted is a store whose reads wait for the budget.
type budgeted struct {
	kv.Store
	budget interface{ Wait(context.Context) error }
}

// Get implements kv.Store.
func (b *budgeted) Get(ctx context.Context, key string) (kv.Entry, error) {
	if err := b.budget.Wait(ctx); err != nil {
		return kv.Entry{}, &kv.UnavailableError{Op: "get", Cause: err}
	}
	return b.Store.Get(ctx, key)
}

// peersAnswered reports whether a peer answered within d.
func (f *Follower) peersAnswered(d time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.status.PeersReached.IsZero() && time.Since(f.status.PeersReached) < d
}

// List implements kv.Store.
func (b *budgeted) List(ctx context.Context, prefix string) ([]kv.Entry, kv.Version, error) {
	if err := b.budget.Wait(ctx); err != nil {
		return nil, 0, &kv.UnavailableError{Op: "list", Cause: err}
	}
	return b.Store.List(ctx, prefix)
}
