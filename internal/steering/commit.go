package steering

import (
	"bytes"
	"context"
	"errors"
	"slices"

	"github.com/azureflow/azureflow/internal/kv"
)

// write writes the values of one attempt and updates the head. It reports whether the publication ended.
func (r *publishRun) write(ctx context.Context, b basis, d *delta) (bool, error) {
	p := publication{b.state.configuration.Revision + 1, b.head.version, r.publisher.options.NewRandom()}
	next, encoded, err := r.completeDelta(b.state, d, p)
	if err != nil {
		return true, r.wrapFailure(err)
	}
	h, err := r.writeParts(ctx, b, next, encoded)
	if err != nil {
		r.deleteKeys(ctx, ownKeys(p))
		return true, r.wrapFailure(err)
	}
	return r.moveHead(ctx, b, h, p)
}

// completeDelta fills in d and returns the state after it.
func (r *publishRun) completeDelta(s *state, d *delta, p publication) (*state, []byte, error) {
	d.Revision, d.Publication, d.PublishedAt = p.revision, p.id(), utcNow()
	d.Parent = s.configuration.Publication
	next, err := s.withChanges(d)
	if err != nil {
		return nil, nil, err
	}
	d.Digest = next.digests.combined()
	encoded, err := encodeDelta(d)
	if err != nil {
		return nil, nil, err
	}
	return next, encoded, nil
}

// needsSnapshot reports whether a change cannot be published as a delta: there is no earlier revision,
// or the delta is too large for a value of the store or for its readers.
func needsSnapshot(b basis, encoded []byte) bool {
	if b.state.configuration.Revision == 0 || len(encoded) > kv.MaxValueBytes {
		return true
	}
	_, err := decodeDelta(encoded)
	return err != nil
}

// writeParts writes everything that the new head refers to, and returns that head.
func (r *publishRun) writeParts(ctx context.Context, b basis, next *state, encoded []byte) (*head, error) {
	c := next.configuration
	h := &head{
		Format:      headFormat,
		Revision:    c.Revision,
		Publication: c.Publication,
		PublishedAt: c.PublishedAt,
		Digest:      next.digests.combined(),
		Snapshot:    b.head.Snapshot,
	}
	if needsSnapshot(b, encoded) {
		var err error
		h.Snapshot, err = r.writeSnapshot(ctx, b, next)
		return h, err
	}
	if err := r.writeOnce(ctx, deltaKey(c.Publication), encoded); err != nil {
		return nil, err
	}
	if b.storeBehind || len(b.head.Deltas) >= deltasOfSnapshot {
		snapshot, err := r.writeSnapshot(ctx, b, b.state)
		if err != nil {
			return nil, err
		}
		h.Snapshot = snapshot
		h.Deltas = []PublicationID{c.Publication}
		h.Inline = selectInline([]recentDelta{{c.Revision, encoded}})
		return h, nil
	}
	h.Deltas = append(slices.Clone(b.head.Deltas), c.Publication)
	h.Inline = selectInline(append(slices.Clone(b.state.recent), recentDelta{c.Revision, encoded}))
	return h, nil
}

// writeSnapshot writes all of s in chunks, and the history of publications before it.
func (r *publishRun) writeSnapshot(ctx context.Context, b basis, s *state) (snapshotRef, error) {
	data, err := encodeSnapshot(s)
	if err != nil {
		return snapshotRef{}, err
	}
	ref := snapshotRef{Publication: s.configuration.Publication}
	for chunk := range slices.Chunk(data, chunkBytes) {
		if err := r.writeOnce(ctx, chunkKey(ref.Publication, ref.Chunks), chunk); err != nil {
			return snapshotRef{}, err
		}
		ref.Chunks++
	}
	return ref, r.writeHistory(ctx, b, ref.Publication)
}

func (r *publishRun) writeHistory(ctx context.Context, b basis, of PublicationID) error {
	before, err := retry(ctx, func() ([]PublicationID, error) {
		ids, err := loadHistory(ctx, r.store, b.head.head)
		var missing *kv.NotFoundError
		if errors.As(err, &missing) {
			return nil, nil
		}
		return ids, err
	})
	if err != nil {
		return err
	}
	all := append(before, b.head.publications()...)
	all = slices.DeleteFunc(all, func(id PublicationID) bool { return id == of })
	content := history{Publications: all[max(0, len(all)-maxHistory):]}
	data, err := encode(magicHistory, &content)
	if err != nil {
		return err
	}
	return r.writeOnce(ctx, historyKey(of), data)
}

// writeOnce writes an immutable value. It may exist already, from an attempt whose response was lost
// or from another publication based on the same revision.
func (r *publishRun) writeOnce(ctx context.Context, key string, value []byte) error {
	_, err := retry(ctx, func() (kv.Version, error) {
		version, err := r.store.CompareAndSwap(ctx, key, 0, value, 0)
		var conflict *kv.ConflictError
		if !errors.As(err, &conflict) {
			return version, err
		}
		entry, err := r.store.Get(ctx, key)
		if err == nil && !bytes.Equal(entry.Value, value) {
			return 0, conflict
		}
		return entry.Version, err
	})
	return err
}

// moveHead makes h the head. A compare-and-swap whose response was lost is retried: it expects the
// same version, so it takes effect at most once.
func (r *publishRun) moveHead(ctx context.Context, b basis, h *head, p publication) (bool, error) {
	value, err := encodeHead(h)
	if err != nil {
		return true, r.wrapFailure(err)
	}
	uncertain := false
	_, err = retry(ctx, func() (kv.Version, error) {
		version, err := r.store.CompareAndSwap(ctx, HeadKey, b.head.version, value, 0)
		var unknown *kv.EffectUnknownError
		if errors.As(err, &unknown) && !uncertain {
			uncertain = true
			r.unsettled = append(r.unsettled, p)
		}
		return version, err
	})
	var conflict *kv.ConflictError
	switch {
	case err == nil:
		r.result.Revision, r.result.Publication, r.result.PublishedAt = h.Revision, h.Publication, h.PublishedAt
		r.deleteUnreferenced(ctx, b, h)
		return true, nil
	case !errors.As(err, &conflict):
		if !uncertain {
			r.deleteKeys(ctx, ownKeys(p))
		}
		return true, r.wrapFailure(err)
	case uncertain:
		return r.settleConflict(ctx, p)
	}
	r.deleteKeys(ctx, ownKeys(p))
	return false, nil
}

// settleConflict determines whether an attempt of unknown outcome updated the head, which is now at
// another version.
func (r *publishRun) settleConflict(ctx context.Context, p publication) (bool, error) {
	verdict, err := r.publisher.readVerdict(ctx, p)
	switch {
	case err != nil:
		return true, r.wrapFailure(err)
	case verdict == verdictAccepted:
		r.result.Revision, r.result.Publication = p.revision, p.id()
		return true, nil
	case verdict == verdictPending:
		return true, r.wrapFailure(&StaleReadError{Expected: p.replaces})
	}
	r.unsettled = slices.DeleteFunc(r.unsettled, func(tried publication) bool { return tried == p })
	r.deleteKeys(ctx, ownKeys(p))
	return false, nil
}

// ownKeys returns the keys that only this attempt can have written. A snapshot of the state that the
// attempt is based on may also belong to other publications; a snapshot of the new state does not.
func ownKeys(p publication) []string {
	return []string{deltaKey(p.id()), chunkKey(p.id(), 0), historyKey(p.id())}
}

// deleteUnreferenced deletes the keys that the previous head refers to and h does not.
func (r *publishRun) deleteUnreferenced(ctx context.Context, b basis, h *head) {
	kept := h.keys()
	old := slices.DeleteFunc(b.head.keys(), func(key string) bool { return slices.Contains(kept, key) })
	r.deleteKeys(ctx, old)
}

// deleteKeys deletes keys that no head refers to. It stops at the first failure: keys that remain do
// no harm.
func (r *publishRun) deleteKeys(ctx context.Context, keys []string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanupTimeout)
	defer cancel()
	for _, key := range keys {
		entry, err := r.store.Get(ctx, key)
		if err != nil {
			var missing *kv.NotFoundError
			if errors.As(err, &missing) {
				continue
			}
			return
		}
		if err := r.store.Delete(ctx, key, entry.Version); err != nil {
			return
		}
	}
}
