package steering

import (
	"context"
	"time"

	"github.com/azureflow/azureflow/internal/kv"
)

// followStore watches the head while this VM follows the store itself.
func (f *Follower) followStore(ctx context.Context) {
	waits := newBackoff()
	after, headRead := kv.Version(0), false
	for ctx.Err() == nil {
		if !f.options.WatchStore() {
			headRead = false
			pause(ctx, f.interval(f.options.HeadPoll))
			continue
		}
		version, err := f.watchOnce(ctx, after, headRead)
		if err != nil {
			headRead = false
			f.fetchFromPeers(ctx)
			pause(ctx, waits.NextBackOff())
			continue
		}
		after, headRead = version, true
		waits.Reset()
	}
}

// watchOnce reads the head if headRead is false, else waits for its next change. It returns the version
// after which to continue the watch.
func (f *Follower) watchOnce(ctx context.Context, after kv.Version, headRead bool) (kv.Version, error) {
	if err := f.budget.Wait(ctx); err != nil {
		return 0, err
	}
	if !headRead {
		h, err := f.readStore(ctx)
		return h.version, err
	}
	before := f.inForce.Load()
	entries, version, err := f.options.Store.Watch(ctx, HeadKey, after)
	f.recordStoreResult(err)
	if err != nil {
		return 0, err
	}
	for _, entry := range entries {
		if entry.Key != HeadKey || entry.Deleted {
			continue
		}
		h, err := decodeHead(entry.Value)
		if err != nil {
			f.reportUnreadable(0, err)
			continue
		}
		f.setLastHead(storedHead{h, entry.Version, entry.Value})
		if err := f.applyHead(ctx, h, before); err != nil {
			return 0, err
		}
	}
	return version, nil
}

// pollHead reads the head periodically in addition to the watch, which may have stalled. A VM that
// follows its peers reads it only after they did not respond for StoreFallback.
func (f *Follower) pollHead(ctx context.Context) {
	for pause(ctx, f.interval(f.options.HeadPoll)) {
		if !f.options.WatchStore() && f.Current() != nil && f.hasPeerContactWithin(f.options.StoreFallback) {
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

// readStore reads the head and applies the revision that it describes.
func (f *Follower) readStore(ctx context.Context) (storedHead, error) {
	ctx, cancel := context.WithTimeout(ctx, defaultStoreTimeout)
	defer cancel()
	before := f.inForce.Load()
	h, err := readHeadAfter(ctx, f.options.Store, f.lastHead())
	if isEncodingError(err) {
		f.recordStoreResult(nil)
		f.reportUnreadable(0, err)
		return storedHead{}, err
	}
	f.recordStoreResult(err)
	if err != nil {
		return storedHead{}, err
	}
	f.setLastHead(h)
	return h, f.applyHead(ctx, h.head, before)
}

// lastHead returns the head of the last read.
func (f *Follower) lastHead() storedHead {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.last
}

func (f *Follower) setLastHead(h storedHead) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.last = h
}

// applyHead applies the revision of h if it is above the one that was in force before h was read. It
// returns only failures of the store.
func (f *Follower) applyHead(ctx context.Context, h *head, before *state) error {
	if !f.isNewer(h, before) || f.hasFailedRecently(h.Publication) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, defaultStoreTimeout)
	defer cancel()
	s, err := loadState(ctx, &rateLimitedStore{f.options.Store, f.budget}, h, f.inForce.Load())
	if isEncodingError(err) {
		f.recordFailedPublication(h.Publication)
		f.reportUnreadable(h.Revision, err)
		return nil
	}
	if err != nil {
		f.recordStoreResult(err)
		return err
	}
	forked := f.isForkedFrom(ctx, h, before)
	if f.apply(s, SourceStore) && forked {
		f.raiseForkAlarm(h, before.configuration)
	}
	return nil
}

// isForkedFrom reports whether h does not descend from the configuration that was in force: the store
// was reset to an earlier state, and a publication was made there without knowledge of that configuration.
func (f *Follower) isForkedFrom(ctx context.Context, h *head, before *state) bool {
	if before == nil {
		return false
	}
	have := before.configuration
	made, known := h.publicationAt(have.Revision)
	if !known {
		earlier, err := loadHistory(ctx, &rateLimitedStore{f.options.Store, f.budget}, h)
		if err != nil {
			return false
		}
		made, known = publicationOfRevision(earlier, have.Revision)
	}
	return known && made != have.Publication
}

// isNewer reports whether h is above the configuration that was in force, and raises an alarm for an
// older or a forked head.
func (f *Follower) isNewer(h *head, before *state) bool {
	if before == nil {
		return h.Revision > 0
	}
	have := before.configuration
	switch {
	case h.Revision < have.Revision:
		f.reportHeadMismatch(AlarmStoreBehind, h, have)
		return false
	case h.Revision == have.Revision && h.Publication != have.Publication:
		f.reportHeadMismatch(AlarmForked, h, have)
		return false
	}
	f.recordConsistentHead(h)
	return h.Revision > have.Revision
}

// hasFailedRecently reports whether a publication could not be read within the last unreadableRetry.
func (f *Follower) hasFailedRecently(id PublicationID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failedPublication == id && time.Since(f.failedAt) < unreadableRetry
}

func (f *Follower) recordFailedPublication(id PublicationID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failedPublication, f.failedAt = id, time.Now()
}

// rateLimitedStore is a store whose reads wait for the call budget.
type rateLimitedStore struct {
	kv.Store
	budget interface{ Wait(context.Context) error }
}

// Get implements kv.Store.
func (b *rateLimitedStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	if err := b.budget.Wait(ctx); err != nil {
		return kv.Entry{}, &kv.UnavailableError{Op: "get", Cause: err}
	}
	return b.Store.Get(ctx, key)
}

// hasPeerContactWithin reports whether a peer responded within the last d.
func (f *Follower) hasPeerContactWithin(d time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.status.PeersReached.IsZero() && time.Since(f.status.PeersReached) < d
}

// List implements kv.Store.
func (b *rateLimitedStore) List(ctx context.Context, prefix string) ([]kv.Entry, kv.Version, error) {
	if err := b.budget.Wait(ctx); err != nil {
		return nil, 0, &kv.UnavailableError{Op: "list", Cause: err}
	}
	return b.Store.List(ctx, prefix)
}
