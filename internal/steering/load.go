package steering

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/azureflow/azureflow/internal/kv"
)

// maxSingleReads is the number of deltas that are read one by one.
const maxSingleReads = 2

// storedHead is a head with its version in the store.
type storedHead struct {
	*head
	version kv.Version // 0: the store holds no head
	encoded []byte
}

// readHead returns the head. Without a head in the store it returns one of revision 0.
func readHead(ctx context.Context, store kv.Store) (storedHead, error) {
	return readHeadAfter(ctx, store, storedHead{})
}

// readHeadAfter returns the head. It does not decode a value that is unchanged since last.
func readHeadAfter(ctx context.Context, store kv.Store, last storedHead) (storedHead, error) {
	entry, err := store.Get(ctx, HeadKey)
	var missing *kv.NotFoundError
	if errors.As(err, &missing) {
		return storedHead{head: &head{Format: headFormat}}, nil
	}
	if err != nil {
		return storedHead{}, err
	}
	if last.head != nil && bytes.Equal(last.encoded, entry.Value) {
		return storedHead{last.head, entry.Version, last.encoded}, nil
	}
	h, err := decodeHead(entry.Value)
	if err != nil {
		return storedHead{}, err
	}
	return storedHead{h, entry.Version, entry.Value}, nil
}

// loadState returns the state that h describes. It starts from `from` if the chain of h contains it,
// else from the snapshot.
func loadState(ctx context.Context, store kv.Store, h *head, from *state) (*state, error) {
	if h.Revision == 0 {
		return emptyState(), nil
	}
	s, rest := startingState(h, from)
	if s == nil {
		var err error
		if s, err = loadSnapshot(ctx, store, h.Snapshot); err != nil {
			return nil, err
		}
		rest = h.Deltas
	}
	encoded, err := loadDeltas(ctx, store, h, rest)
	if err != nil {
		return nil, err
	}
	for i, id := range rest {
		d, err := decodeDelta(encoded[i])
		if err != nil {
			return nil, err
		}
		if d.Publication != id {
			return nil, &EncodingError{Fault: FaultChain}
		}
		if s, err = s.apply(d, encoded[i]); err != nil {
			return nil, err
		}
	}
	if s.configuration.Publication != h.Publication || s.digests.combined() != h.Digest {
		return nil, &EncodingError{Fault: FaultDigest}
	}
	return s, nil
}

// startingState returns from and the deltas to apply to it, or nil if the chain of h does not contain it.
func startingState(h *head, from *state) (*state, []PublicationID) {
	if from == nil {
		return nil, nil
	}
	have := from.configuration.Publication
	if have == h.Snapshot.Publication {
		return from, h.Deltas
	}
	for i, id := range h.Deltas {
		if id == have {
			return from, h.Deltas[i+1:]
		}
	}
	return nil, nil
}

// loadDeltas returns the encoded deltas of publications: from the head, by one call each if few are
// missing there, else by one call for all deltas of the store.
func loadDeltas(ctx context.Context, store kv.Store, h *head, ids []PublicationID) ([][]byte, error) {
	encoded := make([][]byte, len(ids))
	var missing []int
	for i, id := range ids {
		if encoded[i] = h.inlineDelta(id); encoded[i] == nil {
			missing = append(missing, i)
		}
	}
	if len(missing) > maxSingleReads {
		return encoded, listDeltas(ctx, store, ids, encoded, missing)
	}
	for _, i := range missing {
		entry, err := store.Get(ctx, deltaKey(ids[i]))
		if err != nil {
			return nil, err
		}
		encoded[i] = entry.Value
	}
	return encoded, nil
}

func listDeltas(ctx context.Context, store kv.Store, ids []PublicationID, encoded [][]byte, missing []int) error {
	entries, _, err := store.List(ctx, deltaPrefix)
	if err != nil {
		return err
	}
	byKey := make(map[string][]byte, len(entries))
	for _, entry := range entries {
		byKey[entry.Key] = entry.Value
	}
	for _, i := range missing {
		value, ok := byKey[deltaKey(ids[i])]
		if !ok {
			return &kv.NotFoundError{Key: deltaKey(ids[i])}
		}
		encoded[i] = value
	}
	return nil
}

func loadSnapshot(ctx context.Context, store kv.Store, ref snapshotRef) (*state, error) {
	var data []byte
	for i := range ref.Chunks {
		entry, err := store.Get(ctx, chunkKey(ref.Publication, i))
		if err != nil {
			return nil, err
		}
		data = append(data, entry.Value...)
	}
	s, err := decodeSnapshot(data)
	if err != nil {
		return nil, err
	}
	if s.configuration.Publication != ref.Publication {
		return nil, &EncodingError{Fault: FaultChain}
	}
	return s, nil
}

func decodeSnapshot(data []byte) (*state, error) {
	var content snapshot
	if err := decode(magicSnapshot, data, maxDecodedBytes, &content); err != nil {
		return nil, err
	}
	c := content.Configuration
	if c == nil || len(content.ChangedIn.Services) != len(c.Services) {
		return nil, &EncodingError{Fault: FaultContent}
	}
	if err := validate(c); err != nil {
		return nil, err
	}
	s, err := newState(c)
	if err != nil {
		return nil, err
	}
	if s.digests.combined() != content.Digest {
		return nil, &EncodingError{Fault: FaultDigest}
	}
	s.changedIn = content.ChangedIn
	return s, nil
}

func encodeSnapshot(s *state) ([]byte, error) {
	return encode(magicSnapshot, &snapshot{s.configuration, s.changedIn, s.digests.combined()})
}

// loadHistory returns the publications before the snapshot of h, newest last, or none if h has no
// snapshot.
func loadHistory(ctx context.Context, store kv.Store, h *head) ([]PublicationID, error) {
	if h.Snapshot.Publication == "" {
		return nil, nil
	}
	entry, err := store.Get(ctx, historyKey(h.Snapshot.Publication))
	if err != nil {
		return nil, err
	}
	var content history
	if err := decode(magicHistory, entry.Value, maxDeltaBytes, &content); err != nil {
		return nil, err
	}
	return content.Publications, nil
}

// utcNow returns the time without monotonic clock reading, so that it is equal after decoding.
func utcNow() time.Time { return time.Now().UTC().Round(0) }
