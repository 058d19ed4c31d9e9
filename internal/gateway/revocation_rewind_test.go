package gateway

import (
	"testing"
	"time"
)

// The store acknowledges a withdrawal, is away for a while, and comes back from a copy without it. The operator writes
// it again within the time that entries need for that. The withdrawn key runs nowhere after the bound.
func TestWithdrawalThatTheStoreLost(t *testing.T) {
	for _, outage := range []time.Duration{500 * time.Millisecond, 3 * time.Second, 10 * time.Second} {
		withRevocation(t, func(t *testing.T, r *revocation) {
			before := r.store.state()
			r.store.setError(unavailable) // before any VM reads the withdrawal
			r.withdraw()
			r.watch(t, outage, func(string) bool { return false })
			r.store.comeBackAs(before)
			r.store.setError(nil)
			r.watch(t, reregisterTime, func(string) bool { return false })
			r.store.putJSON("operator/config", fakeConfig{Version: 3, Keys: []string{keptKey}})
			r.watch(t, 2*revokeBound, func(string) bool { return false })
			r.watch(t, time.Second, always)
		}, "vm-1", "vm-2")
	}
}
