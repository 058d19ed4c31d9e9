package vm

import (
	"cmp"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ListVersion is a hash of the rows of a VM list: VMs with the same one have the same rows.
type ListVersion uint64

// ListChange leads from one version of the VM list to another.
type ListChange struct {
	From    ListVersion
	To      ListVersion
	Changed []VM // rows that are new or differ
	Removed []Name
}

// keptChanges is the number of changes that a ListLog keeps for VMs that lag behind.
const keptChanges = 64

// ListLog keeps the rows of the VM list that this VM learned last and how they came to be, for VMs that
// learn of changes from it. It is safe for concurrent use.
type ListLog struct {
	mu      sync.Mutex
	held    map[Name]VM
	rows    []VM // of held, sorted by name; never changed in place
	taken   []VM // argument of the last Take
	version ListVersion
	askedAt time.Time     // when the platform was asked for the rows
	changes []ListChange  // the earliest first
	changed chan struct{} // closed with the next change
}

// NewListLog returns a ListLog that knows no list.
func NewListLog() *ListLog {
	return &ListLog{held: make(map[Name]VM), changed: make(chan struct{})}
}

// SetRows takes the rows of a list that the platform was asked for at a time. The caller must not change them.
func (l *ListLog) SetRows(rows []VM, asked time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.askedAt = asked
	if l.rows != nil && sameSlice(rows, l.taken) {
		return
	}
	l.taken = rows
	l.apply(l.difference(rows))
}

// difference returns the change from what is held to rows.
func (l *ListLog) difference(rows []VM) ListChange {
	c := ListChange{From: l.version, To: l.version}
	present := make(map[Name]bool, len(rows))
	for _, row := range rows {
		row.Since = row.Since.UTC()
		present[row.Name] = true
		old, known := l.held[row.Name]
		if known && old == row {
			continue
		}
		if known {
			c.To ^= rowHash(old)
		}
		c.To ^= rowHash(row)
		c.Changed = append(c.Changed, row)
	}
	for name, old := range l.held {
		if !present[name] {
			c.To ^= rowHash(old)
			c.Removed = append(c.Removed, name)
		}
	}
	slices.Sort(c.Removed)
	return c
}

// Apply takes a change to rows that the platform was asked for at a time. It reports whether the change begins
// with the version held here and ends with the one that it names.
func (l *ListLog) Apply(c ListChange, asked time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.From != l.version || c.To != l.after(c) {
		return false
	}
	l.apply(c)
	if asked.After(l.askedAt) {
		l.askedAt = asked
	}
	return true
}

// after returns the version that c leads to from the rows held.
func (l *ListLog) after(c ListChange) ListVersion {
	version := l.version
	for _, row := range c.Changed {
		if old, known := l.held[row.Name]; known {
			version ^= rowHash(old)
		}
		version ^= rowHash(row)
	}
	for _, name := range c.Removed {
		if old, known := l.held[name]; known {
			version ^= rowHash(old)
		}
	}
	return version
}

func (l *ListLog) apply(c ListChange) {
	if l.rows != nil && len(c.Changed)+len(c.Removed) == 0 {
		return
	}
	for _, row := range c.Changed {
		l.held[row.Name] = row
	}
	for _, name := range c.Removed {
		delete(l.held, name)
	}
	l.rows = make([]VM, 0, len(l.held))
	for _, row := range l.held {
		l.rows = append(l.rows, row)
	}
	slices.SortFunc(l.rows, func(a, b VM) int { return cmp.Compare(a.Name, b.Name) })
	l.version = c.To
	l.changes = append(l.changes, c)
	if len(l.changes) > keptChanges {
		l.changes = slices.Delete(l.changes, 0, len(l.changes)-keptChanges)
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// ChangesSince returns the change from a version to the rows held, and when the platform was asked for them. It is false
// for a version that is not known here.
func (l *ListLog) ChangesSince(version ListVersion) (c ListChange, asked time.Time, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c = ListChange{From: version, To: l.version}
	if version == l.version {
		return c, l.askedAt, l.rows != nil
	}
	first := len(l.changes) - 1
	for first >= 0 && l.changes[first].From != version {
		first--
	}
	if first < 0 {
		return c, l.askedAt, false
	}
	return l.join(c, l.changes[first:]), l.askedAt, true
}

// join fills c with what changes together changed.
func (l *ListLog) join(c ListChange, changes []ListChange) ListChange {
	touched := make(map[Name]bool)
	for i := range changes {
		for j := range changes[i].Changed {
			touched[changes[i].Changed[j].Name] = true
		}
		for _, name := range changes[i].Removed {
			touched[name] = true
		}
	}
	for name := range touched {
		if row, held := l.held[name]; held {
			c.Changed = append(c.Changed, row)
		} else {
			c.Removed = append(c.Removed, name)
		}
	}
	return c
}

// Rows returns the rows held, sorted by name, and their version; nil before any list was learned. The
// caller must not change them.
func (l *ListLog) Rows() ([]VM, ListVersion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rows, l.version
}

// RequestedAt returns when the platform was asked for the rows held.
func (l *ListLog) RequestedAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.askedAt
}

// Changed returns a channel that is closed with the next change.
func (l *ListLog) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

func rowHash(row VM) ListVersion {
	text, err := json.Marshal(row)
	if err != nil { // a time beyond the year 9999
		text = []byte(row.Name)
	}
	return ListVersion(xxhash.Sum64(text))
}

func sameSlice(a, b []VM) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
