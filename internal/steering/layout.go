package steering

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// Keys of the store.
const (
	// HeadKey holds the head: the revision in force and the references to its parts.
	HeadKey        = "steering/head"
	deltaPrefix    = "steering/delta/"
	snapshotPrefix = "steering/snapshot/"
	historyPrefix  = "steering/history/"
)

// Limits on the values in the store.
const (
	chunkBytes       = 900_000 // of a snapshot
	maxChunks        = maxEncodedBytes / chunkBytes
	deltasOfSnapshot = 32        // before a new snapshot is written
	maxInlineBytes   = 4 << 10   // of the last delta within the head, before base64
	maxInlineTotal   = 1 << 10   // of the last deltas within the head, if they are several
	maxHistory       = 1024      // publications that can be settled
	maxHeadBytes     = 512 << 10 // encoded
)

// head is the value at HeadKey, the only value that is ever overwritten.
type head struct {
	Format      int             `json:"format"`
	Revision    Revision        `json:"revision"` // 0: none was published yet
	Publication PublicationID   `json:"publication"`
	PublishedAt time.Time       `json:"published_at"`
	Digest      Digest          `json:"digest"`
	Snapshot    snapshotRef     `json:"snapshot"`
	Deltas      []PublicationID `json:"deltas"`           // since the snapshot, oldest first
	Inline      [][]byte        `json:"inline,omitempty"` // the last deltas encoded, oldest first, as far as they are small
	Fenced      int             `json:"fenced,omitempty"` // times that it was rewritten to settle a publication
}

const headFormat = 1

// snapshotRef refers to a snapshot in the store.
type snapshotRef struct {
	Publication PublicationID `json:"publication"` // empty: there is none
	Chunks      int           `json:"chunks"`
}

// snapshot is a full configuration with the data that publishers need to build on it.
type snapshot struct {
	Configuration *Configuration `json:"configuration"`
	ChangedIn     revisionSet    `json:"changed_in"`
	Digest        Digest         `json:"digest"`
}

// history is the publications before a snapshot, oldest first, at most maxHistory.
type history struct {
	Publications []PublicationID `json:"publications"`
}

func deltaKey(id PublicationID) string { return deltaPrefix + string(id) }

func historyKey(id PublicationID) string { return historyPrefix + string(id) }

func chunkKey(id PublicationID, i int) string {
	return fmt.Sprintf("%s%s/%03d", snapshotPrefix, id, i)
}

// keys returns every key that h refers to.
func (h *head) keys() []string {
	var keys []string
	for _, id := range h.Deltas {
		keys = append(keys, deltaKey(id))
	}
	if h.Snapshot.Publication == "" {
		return keys
	}
	for i := range h.Snapshot.Chunks {
		keys = append(keys, chunkKey(h.Snapshot.Publication, i))
	}
	return append(keys, historyKey(h.Snapshot.Publication))
}

// inlineDelta returns the encoded delta of a publication if h contains it, else nil.
func (h *head) inlineDelta(id PublicationID) []byte {
	first := len(h.Deltas) - len(h.Inline)
	for i, encoded := range h.Inline {
		if h.Deltas[first+i] == id {
			return encoded
		}
	}
	return nil
}

// selectInline returns as many of the last deltas as together are small enough for a head, encoded.
func selectInline(deltas []recentDelta) [][]byte {
	first := len(deltas) - 1
	size := len(deltas[first].encoded)
	if size > maxInlineBytes {
		return nil
	}
	for first > 0 && size+len(deltas[first-1].encoded) <= maxInlineTotal {
		first--
		size += len(deltas[first].encoded)
	}
	var encoded [][]byte
	for _, d := range deltas[first:] {
		encoded = append(encoded, d.encoded)
	}
	return encoded
}

// publications returns the publications that h names, oldest first.
func (h *head) publications() []PublicationID {
	if h.Snapshot.Publication == "" {
		return h.Deltas
	}
	return append([]PublicationID{h.Snapshot.Publication}, h.Deltas...)
}

// publicationAt returns the publication that made a revision, if h names it.
func (h *head) publicationAt(revision Revision) (PublicationID, bool) {
	return publicationOfRevision(h.publications(), revision)
}

// publicationOfRevision returns the one of ids that made a revision.
func publicationOfRevision(ids []PublicationID, revision Revision) (PublicationID, bool) {
	for _, id := range ids {
		if p, err := parsePublication(id); err == nil && p.revision == revision {
			return id, true
		}
	}
	return "", false
}

func encodeHead(h *head) ([]byte, error) {
	text, err := json.Marshal(h)
	if err != nil {
		return nil, &EncodingError{Fault: FaultContent, Cause: err}
	}
	return text, nil
}

func decodeHead(data []byte) (*head, error) {
	if len(data) > maxHeadBytes {
		return nil, &EncodingError{Fault: FaultSize}
	}
	var h head
	decoder := json.NewDecoder(strings.NewReader(string(data)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&h); err != nil {
		return nil, &EncodingError{Fault: FaultContent, Cause: err}
	}
	again, err := json.Marshal(&h)
	if err != nil || string(again) != string(data) {
		return nil, &EncodingError{Fault: FaultCanonical, Cause: err}
	}
	if h.Format != headFormat {
		return nil, &EncodingError{Fault: FaultFormat}
	}
	if err := h.check(); err != nil {
		return nil, err
	}
	return &h, nil
}

// check rejects a head whose references do not match its revision.
func (h *head) check() error {
	if h.Revision == 0 {
		return nil
	}
	if len(h.Deltas) > deltasOfSnapshot || len(h.Inline) > len(h.Deltas) || h.Snapshot.Chunks < 1 || h.Snapshot.Chunks > maxChunks {
		return &EncodingError{Fault: FaultSize}
	}
	publications := h.publications()
	first := h.Revision - Revision(len(publications)) + 1
	for i, id := range publications {
		p, err := parsePublication(id)
		if err != nil || p.revision != first+Revision(i) {
			return &EncodingError{Fault: FaultChain, Cause: err}
		}
	}
	if publications[len(publications)-1] != h.Publication {
		return &EncodingError{Fault: FaultChain}
	}
	return nil
}
