package gateway

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/azureflow/azureflow/internal/kv"
)

// All VMs lose power and one does not return: the others grant tokens again soon after its lease ended, also where stale
// reads still name it.
func TestQuotasAfterAllVMsLostPower(t *testing.T) {
	withQuotaFleet(t, func(t *testing.T, fl *quotaFleet) {
		const lost = "vm-0"
		time.Sleep(10 * time.Second)
		fl.mu.Lock()
		fl.down[lost] = true
		for _, vm := range fl.vms {
			vm.stop()
		}
		fl.mu.Unlock()
		fl.store.mu.Lock()
		fl.store.staleItems = make(map[string]kv.Entry)
		for key, e := range fl.store.items {
			fl.store.staleItems[key] = e
		}
		fl.store.mu.Unlock()
		lostAt := time.Now()
		time.AfterFunc(presenceTTL, func() { fl.store.remove(presencePrefix + lost) })
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		rest := slices.DeleteFunc(slices.Clone(allVMs), func(name string) bool { return name == lost })
		for _, name := range rest {
			fl.start(ctx, t, name)
		}
		for time.Since(lostAt) < 10*time.Second {
			joined := 0
			for _, name := range rest {
				h := fl.vms[name].quotas.home
				h.mu.Lock()
				if h.role.HasJoined() {
					joined++
				}
				h.mu.Unlock()
			}
			if joined == len(rest) {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		if took := time.Since(lostAt); took > presenceTTL+joinListInterval+joinRetry+2*joinCallTimeout {
			t.Errorf("homes granted again %v after the loss", took)
		} else {
			t.Logf("homes granted again %v after the loss", took)
		}
	}, *testAccount)
}
