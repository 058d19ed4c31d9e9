package upstream

import (
	"fmt"
	"testing"
	"time"
)

// TestLookupsPassUploads offers uploads of 300 ms at twice the capacity of all slots together with lookups. The p99 of
// lookups may be at most 1.25 times that without uploads, and uploads must get at least 80% of the slot time that
// lookups leave. Without reserved slots the lookups wait for an upload to end.
func TestLookupsPassUploads(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			checkReserve(t, experiment{entries: 1, servers: 12, load: 0.3, seed: seed})
		})
	}
}

func checkReserve(t *testing.T, e experiment) {
	baseline := e.run()
	e.uploads = 2
	full := e.run()
	e.noReserve = true
	unreserved := e.run()
	left := float64(e.servers*simSlots) * (slowUntil - slowFrom).Seconds() * (1 - e.load)
	share := full.uploaded.Seconds() / left
	slowdown := ratio(full.percentile(0.99), baseline.percentile(0.99))
	t.Logf("p99 %v, with uploads %v (×%.2f), without reserve %v; uploads get %.3f of the remaining slot time, without reserve %.3f",
		baseline.percentile(0.99).Round(10*time.Microsecond), full.percentile(0.99).Round(10*time.Microsecond), slowdown,
		unreserved.percentile(0.99).Round(10*time.Microsecond), share, unreserved.uploaded.Seconds()/left)
	if slowdown > 1.25 || share < 0.8 {
		t.Error("p99 ratio or share of the uploads out of bounds")
	}
}
