package refplatformtest

import (
	"context"
	"slices"
	"sync"

	"github.com/azureflow/azureflow/internal/kv"
	"github.com/azureflow/azureflow/internal/refplatform"
	"github.com/azureflow/azureflow/internal/standin/memkv"
	"github.com/azureflow/azureflow/internal/vm"
)

// VMList is an in-memory VM list that changes only through its methods.
type VMList struct {
	mu    sync.Mutex
	vms   []vm.VM
	down  bool
	calls int
}

var _ refplatform.VMList = (*VMList)(nil)

// Set replaces the VMs of the list.
func (l *VMList) Set(vms ...vm.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms = slices.Clone(vms)
}

// SetDown sets whether every call fails.
func (l *VMList) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Calls returns the number of calls.
func (l *VMList) Calls() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

// VMs implements refplatform.VMList.
func (l *VMList) VMs(context.Context) ([]vm.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if l.down {
		return nil, &kv.UnavailableError{Op: "vm list", Cause: memkv.ErrInjected}
	}
	return slices.Clone(l.vms), nil
}
