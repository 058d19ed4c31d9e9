package upstream

import (
	"fmt"
	"testing"
	"time"
)

// TestLookupsPassUploads offers uploads of 300 ms at twice all slots beside lookups, and holds the
// bounds: p99 of lookups at most 1.25 times that without uploads, and at least 80% of what the
// lookups leave goes to uploads. Without reserved slots the lookups wait for an upload to end.
func TestLookupsPassUploads(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			checkReserve(t, experiment{entries: 1, servers: 12, load: 0.3, seed: seed})
		})
	}
}

func checkReserve(t *testing.T, e experiment) {
	calm := e.run()
	e.uploads = 2
	full := e.run()
	e.noReserve = true
	bare := e.run()
	left := float64(e.servers*simSlots) * (slowUntil - slowFrom).Seconds() * (1 - e.load)
	share := full.uploaded.Seconds() / left
	slower := ratio(full.percentile(0.99), calm.percentile(0.99))
	t.Logf("p99 %v, with uploads %v (×%.2f), without reserve %v; uploads %.3f of the rest, without reserve %.3f",
		calm.percentile(0.99).Round(10*time.Microsecond), full.percentile(0.99).Round(10*time.Microsecond), slower,
		bare.percentile(0.99).Round(10*time.Microsecond), share, bare.uploaded.Seconds()/left)
	if slower > 1.25 || share < 0.8 {
		t.Error("out of bounds")
	}
}
