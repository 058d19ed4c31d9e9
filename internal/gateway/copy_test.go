package gateway

import (
	"cmp"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"github.com/azureflow/azureflow/internal/kv"
	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/routing"
)

func routingVersion(n int) routing.Version { return routing.Version(n) }

func valueHash(e *kv.Entry) uint64 { return xxhash.Sum64String(e.Key + string(e.Value)) }

// Copies that receive a store's changes from the store and from each other, in any order and with any delay, never go
// back for any key and agree once they have received all changes.
func TestCopiesMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newFakeStore()
		copies := make([]*storeCopy, 3)
		positions := make(map[[2]int]*peer.StoreCopy) // up to where copy i has applied copy j
		for i := range copies {
			copies[i] = newStoreCopy(valueHash)
		}
		seen := make([]map[string]kv.Version, len(copies))
		for i := range seen {
			seen[i] = make(map[string]kv.Version)
		}
		now := time.Unix(0, 0)
		check := func(i int) {
			for key, row := range copies[i].rows {
				if !row.entry.Deleted && row.entry.Version <= copies[i].version && store.isDeletedAt(key, copies[i].version) {
					t.Fatalf("copy %d, complete up to %d, has %s of %d, which is deleted", i, copies[i].version, key, row.entry.Version)
				}
				if row.entry.Version < seen[i][key] {
					t.Fatalf("copy %d went back to an older version of %s", i, key)
				}
				seen[i][key] = row.entry.Version
			}
		}
		list := func(i int) {
			entries, version, _ := store.List(t.Context(), "")
			copies[i].applyList(entries, version, now)
			check(i)
		}
		fetch := func(i, j int) {
			m := copyUpdate(copies[j], cmp.Or(positions[[2]int{i, j}], copies[i].describe()), now)
			_, positions[[2]int{i, j}] = mergeCopy(copies[i], m, now)
			check(i)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Millisecond)
			i := rapid.IntRange(0, len(copies)-1).Draw(t, "copy")
			key := fmt.Sprintf("k%d", rapid.IntRange(0, 4).Draw(t, "key"))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				store.writeEntry(kv.Entry{Key: key, Value: []byte{rapid.Byte().Draw(t, "value")}})
			case 1:
				if _, ok := store.items[key]; ok {
					store.remove(key)
				}
			case 2:
				list(i)
			default:
				if j := rapid.IntRange(0, len(copies)-1).Draw(t, "peer"); j != i {
					fetch(i, j)
				}
			}
		}
		list(0)
		for i := 1; i < len(copies); i++ {
			for range 2 { // the second call fetches the complete copy where the first left a difference
				fetch(i, i-1)
			}
		}
		for i, c := range copies {
			entries := c.entries()
			if len(entries) != len(store.items) {
				t.Fatalf("copy %d has %d keys, want %d as in the store", i, len(entries), len(store.items))
			}
			for _, e := range entries {
				if string(e.Value) != string(store.items[e.Key].Value) {
					t.Fatalf("copy %d has an outdated value of %s", i, e.Key)
				}
			}
		}
	})
}

// A process that restarted has the store's current list. A peer that has not read the store since, and to which the
// process already spoke, then tells of a server that joined and left in between.
func TestChangesOfAnOutdatedPeerRestoreNoWithdrawnKey(t *testing.T) {
	store := newFakeStore()
	outdated, restarted := newStoreCopy(valueHash), newStoreCopy(valueHash)
	list := func(c *storeCopy) {
		entries, version, _ := store.List(t.Context(), "")
		c.applyList(entries, version, time.Unix(1, 0))
	}
	store.writeEntry(kv.Entry{Key: "stays"})
	list(outdated)
	_, position := mergeCopy(restarted, copyUpdate(outdated, nil, time.Unix(1, 0)), time.Unix(1, 0))
	store.writeEntry(kv.Entry{Key: "withdrawn"})
	list(outdated)
	store.remove("withdrawn")
	list(restarted)
	mergeCopy(restarted, copyUpdate(outdated, position, time.Unix(1, 0)), time.Unix(1, 0))
	for _, e := range restarted.entries() {
		if e.Key == "withdrawn" {
			t.Errorf("a key is back that the store no longer has: %+v", e)
		}
	}
}

// A VM that has read the store itself needs no complete copy from a peer that it calls for the first time, as after the
// loss of the region's reader.
func TestCopiesThatAgreeAreNotSent(t *testing.T) {
	store := newFakeStore()
	for _, key := range []string{"a", "b", "c"} {
		store.writeEntry(kv.Entry{Key: key})
	}
	reader, other := newStoreCopy(valueHash), newStoreCopy(valueHash)
	for _, c := range []*storeCopy{reader, other} {
		entries, version, _ := store.List(t.Context(), "")
		c.applyList(entries, version, time.Unix(1, 0))
	}
	m := copyUpdate(reader, other.describe(), time.Unix(1, 0))
	if len(m.GetEntries()) != 0 || m.GetWhole() {
		t.Errorf("%d entries are sent to a VM whose copy agrees", len(m.GetEntries()))
	}
	_, position := mergeCopy(other, m, time.Unix(1, 0))
	store.remove("b")
	entries, version, _ := store.List(t.Context(), "")
	reader.applyList(entries, version, time.Unix(2, 0))
	mergeCopy(other, copyUpdate(reader, position, time.Unix(2, 0)), time.Unix(2, 0))
	if len(other.entries()) != 2 {
		t.Errorf("entries %v after a deletion, want two", other.entries())
	}
	if empty := newStoreCopy(valueHash); len(copyUpdate(reader, empty.describe(), time.Unix(2, 0)).GetEntries()) != 2 {
		t.Error("a VM without a copy does not get a complete one")
	}
}

// An entry that cannot be decoded takes no memory and no room in the messages to peers, whatever its size.
func TestUnreadableEntriesAreKeptWithoutContent(t *testing.T) {
	f := newTestFollower(t, newFakeStore(), "one")
	big := []byte(`{"Broken":true,"Zone":"` + strings.Repeat("x", 1<<20) + `"}`)
	f.updateServers(func(c *storeCopy) bool {
		return c.applyList([]kv.Entry{{Key: "server/a", Version: 1, Value: big}, {Key: "server/b", Version: 2, Value: []byte(`{"Zone":"north-a"}`)}}, 2, time.Unix(1, 0))
	})
	size := 0
	for _, e := range copyUpdate(f.servers, nil, time.Unix(1, 0)).GetEntries() {
		size += len(e.GetValue())
	}
	if size > 1000 || !f.knownServers()["b"] || f.knownServers()["a"] {
		t.Errorf("%d bytes are passed on, known servers %v; want only the server that can be read", size, f.knownServers())
	}
}

// isDeletedAt reports whether the store had no key at version.
func (s *fakeStore) isDeletedAt(key string, version kv.Version) bool {
	deleted := true
	for _, e := range s.log {
		if e.Key == key && e.Version <= version {
			deleted = e.Deleted
		}
	}
	return deleted
}

func TestHeartbeatsAreNotPropagated(t *testing.T) {
	f := newTestFollower(t, newFakeStore(), "one")
	entry := func(version kv.Version, value string) []kv.Entry {
		return []kv.Entry{{Key: "server/a", Version: version, Value: []byte(value)}}
	}
	f.servers.applyList(entry(1, `{"Zone":"north-a","Born":1,"Beat":1}`), 1, time.Unix(1, 0))
	change := f.servers.change
	f.servers.applyChanges(entry(2, `{"Zone":"north-a","Born":1,"Beat":2}`), 2, time.Unix(2, 0))
	if entries, _ := f.servers.changesSince(f.servers.incarnation, change); len(entries) != 0 {
		t.Errorf("a heartbeat is propagated: %v", entries)
	}
	f.servers.applyChanges(entry(3, `{"Zone":"north-a","Born":1,"Draining":true}`), 3, time.Unix(3, 0))
	if entries, _ := f.servers.changesSince(f.servers.incarnation, change); len(entries) != 1 {
		t.Errorf("after a change, the entries to propagate are %v, want one", entries)
	}
}
