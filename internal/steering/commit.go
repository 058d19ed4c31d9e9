package steering

import (
	"bytes"
	"context"
	"errors"
	"slices"

	"github.com/azureflow/azureflow/internal/kv"
)

// write writes the parts of one try and moves the head. It reports whether the publication is over.
func (r *publishRun) write(ctx context.Context, b basis, d *delta) (bool, error) {
	p := publication{b.state.configuration.Revision + 1, b.head.version, r.publisher.options.NewRandom()}
	next, encoded, err := r.complete(b.state, d, p)
	if err != nil {
		return true, r.lost(err)
	}
	h, err := r.writeParts(ctx, b, next, encoded)
	if err != nil {
		r.clean(ctx, ownKeys(p))
		return true, r.lost(err)
	}
	return r.moveHead(ctx, b, h, p)
}

// complete fills in d and returns the state after it.
func (r *publishRun) complete(s *state, d *delta, p publication) (*state, []byte, error) {
	d.Revision, d.Publication, d.PublishedAt = p.revision, p.id(), utcNow()
	d.Parent = s.configuration.Publication
	next, err := s.change(d)
	if err != nil {
		return nil, nil, err
	}
	d.Digest = next.digests.all()
	encoded, err := encodeDelta(d)
	if err != nil {
		return nil, nil, err
	}
	return next, encoded, nil
}

// needsWhole reports whether a change cannot be published as a delta: there is nothing that it could
// go on from, or it is too large for a value or for its readers.
func needsWhole(b basis, encoded []byte) bool {
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
		Digest:      next.digests.all(),
		Snapshot:    b.head.Snapshot,
	}
	if needsWhole(b, encoded) {
		var err error
		h.Snapshot, err = r.writeSnapshot(ctx, b, next)
		return h, err
	}
	if err := r.writeOnce(ctx, deltaKey(c.Publication), encoded); err != nil {
		return nil, err
	}
	if b.behind || len(b.head.Deltas) >= deltasOfSnapshot {
		snapshot, err := r.writeSnapshot(ctx, b, b.state)
		if err != nil {
			return nil, err
		}
		h.Snapshot = snapshot
		h.Deltas = []PublicationID{c.Publication}
		h.Inline = inline([]recentDelta{{c.Revision, encoded}})
		return h, nil
	}
	h.Deltas = append(slices.Clone(b.head.Deltas), c.Publication)
	h.Inline = inline(append(slices.Clone(b.state.recent), recentDelta{c.Revision, encoded}))
	return h, nil
}

// writeSnapshot writes s whole, with the publications that led to it.
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

// writeOnce writes a value that never changes. It may be there already, from a lost answer or from
// another publication that goes on from the same revision.
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

// moveHead makes h the head. A swap whose answer was lost is made again: it expects the same
// version, so that it takes effect at most once.
func (r *publishRun) moveHead(ctx context.Context, b basis, h *head, p publication) (bool, error) {
	value, err := encodeHead(h)
	if err != nil {
		return true, r.lost(err)
	}
	uncertain := false
	_, err = retry(ctx, func() (kv.Version, error) {
		version, err := r.store.CompareAndSwap(ctx, HeadKey, b.head.version, value, 0)
		var unknown *kv.EffectUnknownError
		if errors.As(err, &unknown) && !uncertain {
			uncertain = true
			r.tried = append(r.tried, p)
		}
		return version, err
	})
	var conflict *kv.ConflictError
	switch {
	case err == nil:
		r.result.Revision, r.result.Publication, r.result.PublishedAt = h.Revision, h.Publication, h.PublishedAt
		r.removeOld(ctx, b, h)
		return true, nil
	case !errors.As(err, &conflict):
		if !uncertain {
			r.clean(ctx, ownKeys(p))
		}
		return true, r.lost(err)
	case uncertain:
		return r.settleConflict(ctx, p)
	}
	r.clean(ctx, ownKeys(p))
	return false, nil
}

// settleConflict finds out whether an uncertain try moved the head that is now at another version.
func (r *publishRun) settleConflict(ctx context.Context, p publication) (bool, error) {
	verdict, err := r.publisher.look(ctx, p)
	switch {
	case err != nil:
		return true, r.lost(err)
	case verdict == verdictAccepted:
		r.result.Revision, r.result.Publication = p.revision, p.id()
		return true, nil
	case verdict == verdictOpen:
		return true, r.lost(&StaleReadError{Expected: p.replaces})
	}
	r.tried = slices.DeleteFunc(r.tried, func(tried publication) bool { return tried == p })
	r.clean(ctx, ownKeys(p))
	return false, nil
}

// ownKeys returns the keys that only this try can have written. A snapshot of b's state may belong to
// others too, one of the state after it does not.
func ownKeys(p publication) []string {
	return []string{deltaKey(p.id()), chunkKey(p.id(), 0), historyKey(p.id())}
}

// removeOld removes what the head before referred to and h does not.
func (r *publishRun) removeOld(ctx context.Context, b basis, h *head) {
	kept := h.keys()
	old := slices.DeleteFunc(b.head.keys(), func(key string) bool { return slices.Contains(kept, key) })
	r.clean(ctx, old)
}

// clean removes keys that no head refers to. What it leaves behind does no harm.
func (r *publishRun) clean(ctx context.Context, keys []string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanTimeout)
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
