package gateway

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/azureflow/azureflow/internal/kv"
	"github.com/azureflow/azureflow/internal/peer"
)

// rewindModel is a store that comes back older at any time, and copies of it that are lists, changes and copies of each
// other.
type rewindModel struct {
	t         *rapid.T
	store     *fakeStore
	saved     []storeState                       // states to which the store may return, by version
	contents  map[kv.Version]map[string]kv.Entry // of the store at each of its versions
	copies    []*storeCopy
	positions map[[2]int]*peer.StoreCopy // up to where copy i has applied copy j
	newest    []kv.Version               // of each copy
	now       time.Time
}

func newRewindModel(t *rapid.T) *rewindModel {
	m := &rewindModel{
		t: t, store: newFakeStore(), contents: make(map[kv.Version]map[string]kv.Entry), copies: make([]*storeCopy, 3),
		positions: make(map[[2]int]*peer.StoreCopy), newest: make([]kv.Version, 3), now: time.Unix(100, 0),
	}
	for i := range m.copies {
		m.copies[i] = newStoreCopy(inspectValue)
	}
	m.save()
	return m
}

// save records the store's state as one that it had.
func (m *rewindModel) save() {
	state := m.store.state()
	m.saved = append(m.saved, state)
	m.contents[state.version] = state.items
}

// rewind returns the store to one of its states of before; what it had after that is no state of it any more.
func (m *rewindModel) rewind() {
	to := rapid.IntRange(0, len(m.saved)-1).Draw(m.t, "state")
	m.store.comeBackAs(m.saved[to])
	m.saved = m.saved[:to+1]
	m.save()
}

func (m *rewindModel) write(key string) {
	m.store.writeEntry(kv.Entry{Key: key, Value: []byte{rapid.Byte().Draw(m.t, "value")}})
	m.save()
}

func (m *rewindModel) remove(key string) {
	if _, ok := m.store.items[key]; ok {
		m.store.remove(key)
		m.save()
	}
}

func (m *rewindModel) list(i int) {
	entries, version, _ := m.store.List(m.t.Context(), "")
	m.copies[i].applyList(entries, version, m.now)
	m.check(i)
}

// watch applies what changed since copy i. A store of another era does not say that.
func (m *rewindModel) watch(i int) {
	if entries, version, _, err := m.store.changesSince("", m.copies[i].version); err == nil {
		m.copies[i].applyChanges(entries, version, m.now)
		m.check(i)
	}
}

func (m *rewindModel) fetch(i, j int) {
	between := [2]int{i, j}
	update := copyUpdate(m.copies[j], cmp.Or(m.positions[between], m.copies[i].describe()), m.now)
	_, m.positions[between] = mergeCopy(m.copies[i], update, m.now)
	m.check(i)
}

// check fails if copy i went back, or is complete up to a version and has content that the store had neither then nor
// later in that era.
func (m *rewindModel) check(i int) {
	c := m.copies[i]
	if c.version < m.newest[i] || c.rewind.era < c.version.Era() {
		m.t.Fatalf("copy %d is of version %v in era %d after version %v", i, c.version, c.rewind.era, m.newest[i])
	}
	m.newest[i] = c.version
	if !c.isOfOneEra() || c.version == 0 {
		return
	}
	keys := maps.Clone(m.contents[c.version])
	for key, row := range c.rows {
		keys[key] = row.entry
	}
	for key := range keys {
		value, ok := "", false
		if row := c.rows[key]; row != nil && !row.entry.Deleted {
			value, ok = string(row.entry.Value), true
		}
		if !m.hadSince(c.version, key, value, ok) {
			m.t.Fatalf("copy %d, complete up to %v, has %s as %q, exists %v; the store had %+v", i, c.version, key, value, ok, m.contents[c.version][key])
		}
	}
}

// hadSince reports whether the store had value at key, or no value, at version or later in the same era.
func (m *rewindModel) hadSince(version kv.Version, key, value string, exists bool) bool {
	for at := version; ; at++ {
		content, ok := m.contents[at]
		if !ok {
			return false
		}
		if e, ok := content[key]; ok == exists && string(e.Value) == value {
			return true
		}
	}
}

// checkConverged fails if a copy has other content than the store.
func (m *rewindModel) checkConverged() {
	for i, c := range m.copies {
		known := make(map[string]string)
		for _, e := range c.entries() {
			known[e.Key] = string(e.Value)
		}
		held := make(map[string]string)
		for key, e := range m.store.items {
			held[key] = string(e.Value)
		}
		if !maps.Equal(known, held) || c.rewind.era != m.store.version.Era() {
			m.t.Fatalf("copy %d has %v in era %d, the store %v in era %d", i, known, c.rewind.era, held, m.store.version.Era())
		}
	}
}

// Whatever the order in which a store is written, comes back older and is read, and whatever copies are offered, no copy
// goes back to an earlier era or version, none has content that the store did not have, and all end with the store's.
func TestCopiesOfAStoreThatComesBackOlder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newRewindModel(t)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			m.now = m.now.Add(time.Millisecond)
			i := rapid.IntRange(0, len(m.copies)-1).Draw(t, "copy")
			key := fmt.Sprintf("k%d", rapid.IntRange(0, 3).Draw(t, "key"))
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1:
				m.write(key)
			case 2:
				m.remove(key)
			case 3:
				m.list(i)
			case 4:
				m.watch(i)
			case 5:
				m.rewind()
			default:
				if j := rapid.IntRange(0, len(m.copies)-1).Draw(t, "peer"); j != i {
					m.fetch(i, j)
				}
			}
		}
		m.list(0)
		for i := 1; i < len(m.copies); i++ {
			for range 2 { // the second call fetches the complete copy where the first left a difference
				m.fetch(i, i-1)
			}
		}
		m.checkConverged()
	})
}

// The numbers of a server's writes hold across eras: no copy uses a server by a number below one that it knows, whatever
// state the store returns to, and each uses it once it writes on.
func TestNumbersOfWritesHoldAcrossEras(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newRewindModel(t)
		number := func(e *kv.Entry) writeNumber {
			var n uint64
			for _, digit := range e.Value {
				n = n<<8 | uint64(digit)
			}
			return writeNumber{born: 1, seq: n}
		}
		for i := range m.copies {
			m.copies[i] = newStoreCopy(func(e *kv.Entry) (uint64, writeNumber) {
				fingerprint, _ := inspectValue(&kv.Entry{Key: e.Key})
				return fingerprint, number(e)
			})
		}
		highest := make([]map[string]uint64, len(m.copies))
		for i := range highest {
			highest[i] = make(map[string]uint64)
		}
		beats := make(map[string]uint64)
		beat := func(key string) {
			beats[key]++
			m.store.writeEntry(kv.Entry{Key: key, Value: []byte{byte(beats[key] >> 8), byte(beats[key])}})
			m.save()
		}
		check := func(i int) {
			for key, row := range m.copies[i].rows {
				if n := number(&row.entry).seq; !row.entry.Deleted && n < highest[i][key] {
					t.Fatalf("copy %d uses %s by write %d, and knew %d", i, key, n, highest[i][key])
				}
				highest[i][key] = max(highest[i][key], row.latest.seq)
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			i := rapid.IntRange(0, len(m.copies)-1).Draw(t, "copy")
			key := fmt.Sprintf("k%d", rapid.IntRange(0, 2).Draw(t, "key"))
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				beat(key)
			case 2:
				m.remove(key)
			case 3:
				entries, version, _ := m.store.List(t.Context(), "")
				m.copies[i].applyList(entries, version, m.now)
			case 4:
				m.rewind()
			default:
				if j := rapid.IntRange(0, len(m.copies)-1).Draw(t, "peer"); j != i {
					between := [2]int{i, j}
					update := copyUpdate(m.copies[j], cmp.Or(m.positions[between], m.copies[i].describe()), m.now)
					_, m.positions[between] = mergeCopy(m.copies[i], update, m.now)
				}
			}
			check(i)
		}
		keys := slices.Sorted(maps.Keys(beats))
		for _, key := range keys {
			beat(key)
		}
		for i, c := range m.copies {
			entries, version, _ := m.store.List(t.Context(), "")
			c.applyList(entries, version, m.now)
			if got := len(c.entries()); got != len(keys) {
				t.Fatalf("copy %d has %d of %d servers that write on", i, got, len(keys))
			}
		}
	})
}
