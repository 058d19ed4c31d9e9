package demo

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azureflow/azureflow/internal/standin"
)

// TestRestartWhileThePlatformIsAway: an entry VM that restarts while neither the store nor the VM list answers serves by
// what its peers know.
func TestRestartWhileThePlatformIsAway(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		w := startVirtual(t, "sohar")
		w.platform.SetFaults("", standin.PlatformFaults{Down: true, VMListDown: true})
		time.Sleep(2 * time.Second)
		victim := w.victim()
		w.drain(victim)
		if err := w.startEntry(len(w.entries)-1, victim.row.Zone); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		operator := w.operator()
		var health struct{ Status string }
		if err := w.victim().get(context.Background(), operator, "/readyz", &health); err != nil {
			t.Errorf("not ready 10 s after the start: %v", err)
		}
		operator.CloseIdleConnections()
		w.stop()
		time.Sleep(time.Minute)
	})
}
