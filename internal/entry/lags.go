package entry

import (
	"sync"
	"time"

	"github.com/azureflow/azureflow/internal/admin"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// lags keeps since when each entry VM is below the highest revision heard of.
type lags struct {
	mu      sync.Mutex
	highest steering.Revision
	since   map[vm.Name]time.Time // of the VMs that lag
	list    []admin.RevisionLag   // sorted by name
}

func newLags() *lags { return &lags{since: make(map[vm.Name]time.Time)} }

// observe takes what is known of all entry VMs at the time now; own is in force on this one.
func (l *lags) observe(view *vm.View, self vm.Name, own steering.Revision, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.highest = max(l.highest, own)
	for i := range view.Entries {
		l.highest = max(l.highest, view.Entries[i].Revision)
	}
	before := l.since
	l.since, l.list = make(map[vm.Name]time.Time), nil
	for i := range view.Entries {
		e := view.Entries[i]
		revision := e.Revision
		if e.VM.Name == self {
			revision = own
		}
		if revision >= l.highest {
			continue
		}
		since, known := before[e.VM.Name]
		if !known {
			since = now
		}
		l.since[e.VM.Name] = since
		l.list = append(l.list, admin.RevisionLag{VM: e.VM.Name, Revision: revision, Since: since})
	}
}

// known returns the highest revision heard of and the VMs below it.
func (l *lags) known() (steering.Revision, []admin.RevisionLag) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.highest, append([]admin.RevisionLag{}, l.list...)
}
