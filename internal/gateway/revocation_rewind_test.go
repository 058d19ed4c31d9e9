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

// A VM that starts right after the store came back without a withdrawal runs no withdrawn key, and confirms none for others.
func TestStartAfterTheStoreLostAWithdrawal(t *testing.T) {
	withRevocation(t, func(t *testing.T, r *revocation) {
		before := r.store.state()
		r.store.setError(unavailable) // before any VM reads the withdrawal
		r.withdraw()
		r.stopVM("vm-0")
		r.watch(t, revokeBound+time.Second, func(string) bool { return false })
		r.store.comeBackAs(before)
		r.store.setError(nil)
		r.startVM(t.Context(), t, "vm-0") // ranks first among readers
		time.Sleep(100 * time.Millisecond)
		r.watch(t, reregisterTime, func(string) bool { return false })
		r.store.putJSON("operator/config", fakeConfig{Version: 3, Keys: []string{keptKey}})
		r.watch(t, 2*time.Second, func(string) bool { return false })
		r.watch(t, time.Second, always)
	}, "vm-0", "vm-1", "vm-2")
}

// A VM that starts long after a rise has keys confirmed by a peer at once.
func TestStartInALaterEraBesidePeers(t *testing.T) {
	withRevocation(t, func(t *testing.T, r *revocation) {
		r.stopVM("vm-2")
		r.store.comeBackAs(r.store.state())
		time.Sleep(10 * time.Second)
		r.seeds = []string{"vm-1"}
		r.startVM(t.Context(), t, "vm-2")
		time.Sleep(500 * time.Millisecond)
		if !r.runs("vm-2", keptKey) {
			t.Error("keys are refused though a peer has confirmed them")
		}
	}, "vm-1", "vm-2")
}
