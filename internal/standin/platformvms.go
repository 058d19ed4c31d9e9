package standin

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/azureflow/azureflow/internal/vm"
)

// vmChange is a change of the list; removed tells a removal from a new row.
type vmChange struct {
	at      time.Time
	vm      vm.VM
	removed bool
}

// vmLog holds the VMs as they were a lag ago and the changes since.
type vmLog struct {
	mu      sync.Mutex
	lag     time.Duration
	old     map[vm.Name]vm.VM
	changes []vmChange // by time
}

func newVMLog(lag time.Duration, vms []vm.VM) *vmLog {
	l := &vmLog{lag: lag, old: make(map[vm.Name]vm.VM)}
	for _, v := range vms {
		l.old[v.Name] = withState(v)
	}
	return l
}

// withState fills the state of a VM that was registered without one.
func withState(v vm.VM) vm.VM {
	if v.State == "" {
		v.State = vm.StateLive
	}
	if v.Since.IsZero() {
		v.Since = time.Now().UTC()
	}
	return v
}

func (l *vmLog) setLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

func (l *vmLog) put(v vm.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes = append(l.changes, vmChange{at: time.Now(), vm: withState(v)})
}

func (l *vmLog) remove(name vm.Name) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes = append(l.changes, vmChange{at: time.Now(), vm: vm.VM{Name: name}, removed: true})
}

// markLeaving reports whether the VM is in the list.
func (l *vmLog) markLeaving(name vm.Name) bool {
	i := slices.IndexFunc(l.now(), func(v vm.VM) bool { return v.Name == name })
	if i < 0 {
		return false
	}
	v := l.now()[i]
	v.State = vm.StateLeaving
	v.Since = time.Now().UTC()
	l.put(v)
	return true
}

// lagged returns the VMs as they were a lag ago, sorted by name.
func (l *vmLog) lagged() []vm.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	horizon := time.Now().Add(-l.lag)
	n := 0
	for n < len(l.changes) && !l.changes[n].at.After(horizon) {
		l.changes[n].apply(l.old)
		n++
	}
	l.changes = slices.Delete(l.changes, 0, n)
	return sortedVMs(l.old)
}

// now returns the VMs as they are, sorted by name.
func (l *vmLog) now() []vm.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	vms := make(map[vm.Name]vm.VM, len(l.old))
	for name, v := range l.old {
		vms[name] = v
	}
	for _, c := range l.changes {
		c.apply(vms)
	}
	return sortedVMs(vms)
}

func (c *vmChange) apply(vms map[vm.Name]vm.VM) {
	if c.removed {
		delete(vms, c.vm.Name)
		return
	}
	vms[c.vm.Name] = c.vm
}

func sortedVMs(vms map[vm.Name]vm.VM) []vm.VM {
	list := make([]vm.VM, 0, len(vms))
	for _, v := range vms {
		list = append(list, v)
	}
	slices.SortFunc(list, func(a, b vm.VM) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return list
}
