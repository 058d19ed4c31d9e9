package vm

import (
	"cmp"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ListVersion is a hash of the rows of a VM list: equal versions have equal rows.
type ListVersion uint64

// ListChange is the difference between two versions of the VM list.
type ListChange struct {
	From    ListVersion
	To      ListVersion
	Changed []VM // rows that are new or different
	Removed []Name
}

// maxChanges is the number of changes that a ListLog retains for VMs that lag behind.
const maxChanges = 64

// ListLog holds the latest rows of the VM list that this VM received and the recent changes to them, for VMs that
// receive changes from it. It is safe for concurrent use.
type ListLog struct {
	mu          sync.Mutex
	byName      map[Name]VM
	rows        []VM // of byName, sorted by name; never changed in place
	lastRows    []VM // argument of the last SetRows
	version     ListVersion
	requestedAt time.Time     // when the rows were requested from the platform
	changes     []ListChange  // the earliest first
	changed     chan struct{} // closed at the next change
}

// NewListLog returns a ListLog without rows.
func NewListLog() *ListLog {
	return &ListLog{byName: make(map[Name]VM), changed: make(chan struct{})}
}

// SetRows replaces the rows with those of a list requested from the platform at requestedAt. The caller must not change
// rows afterwards.
func (l *ListLog) SetRows(rows []VM, requestedAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requestedAt = requestedAt
	if l.rows != nil && isSameSlice(rows, l.lastRows) {
		return
	}
	l.lastRows = rows
	l.apply(l.diff(rows))
}

// diff returns the change from the current rows to rows.
func (l *ListLog) diff(rows []VM) ListChange {
	c := ListChange{From: l.version, To: l.version}
	present := make(map[Name]bool, len(rows))
	for _, row := range rows {
		row.Since = row.Since.UTC()
		present[row.Name] = true
		old, known := l.byName[row.Name]
		if known && old == row {
			continue
		}
		if known {
			c.To ^= rowHash(old)
		}
		c.To ^= rowHash(row)
		c.Changed = append(c.Changed, row)
	}
	for name, old := range l.byName {
		if !present[name] {
			c.To ^= rowHash(old)
			c.Removed = append(c.Removed, name)
		}
	}
	slices.Sort(c.Removed)
	return c
}

// Apply applies a change to rows that were requested from the platform at requestedAt. It returns false and changes
// nothing if the change does not start at the current version or does not result in the version c.To.
func (l *ListLog) Apply(c ListChange, requestedAt time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.From != l.version || c.To != l.versionAfter(c) {
		return false
	}
	l.apply(c)
	if requestedAt.After(l.requestedAt) {
		l.requestedAt = requestedAt
	}
	return true
}

// versionAfter returns the version that results from applying c to the current rows.
func (l *ListLog) versionAfter(c ListChange) ListVersion {
	version := l.version
	for _, row := range c.Changed {
		if old, known := l.byName[row.Name]; known {
			version ^= rowHash(old)
		}
		version ^= rowHash(row)
	}
	for _, name := range c.Removed {
		if old, known := l.byName[name]; known {
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
		l.byName[row.Name] = row
	}
	for _, name := range c.Removed {
		delete(l.byName, name)
	}
	l.rows = make([]VM, 0, len(l.byName))
	for _, row := range l.byName {
		l.rows = append(l.rows, row)
	}
	slices.SortFunc(l.rows, func(a, b VM) int { return cmp.Compare(a.Name, b.Name) })
	l.version = c.To
	l.changes = append(l.changes, c)
	if len(l.changes) > maxChanges {
		l.changes = slices.Delete(l.changes, 0, len(l.changes)-maxChanges)
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// ChangesSince returns the change from a version to the current rows, and when these were requested from the platform. known
// is false if the version is not in the log.
func (l *ListLog) ChangesSince(version ListVersion) (c ListChange, requestedAt time.Time, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c = ListChange{From: version, To: l.version}
	if version == l.version {
		return c, l.requestedAt, l.rows != nil
	}
	first := len(l.changes) - 1
	for first >= 0 && l.changes[first].From != version {
		first--
	}
	if first < 0 {
		return c, l.requestedAt, false
	}
	return l.joinChanges(c, l.changes[first:]), l.requestedAt, true
}

// joinChanges adds to c the rows that any of changes touched, with their current values.
func (l *ListLog) joinChanges(c ListChange, changes []ListChange) ListChange {
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
		if row, present := l.byName[name]; present {
			c.Changed = append(c.Changed, row)
		} else {
			c.Removed = append(c.Removed, name)
		}
	}
	return c
}

// Rows returns the current rows, sorted by name, and their version. The rows are nil before the first list. The
// caller must not change them.
func (l *ListLog) Rows() ([]VM, ListVersion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rows, l.version
}

// RequestedAt returns when the current rows were requested from the platform.
func (l *ListLog) RequestedAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requestedAt
}

// Changed returns a channel that is closed at the next change.
func (l *ListLog) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// rowHash returns the contribution of row to a ListVersion.
func rowHash(row VM) ListVersion {
	text, err := json.Marshal(row)
	if err != nil { // Since is after the year 9999
		text = []byte(row.Name)
	}
	return ListVersion(xxhash.Sum64(text))
}

// isSameSlice reports whether a and b have the same length and share their first element in memory.
func isSameSlice(a, b []VM) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
