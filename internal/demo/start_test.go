package demo

import (
	"testing"
	"testing/synctest"
)

// TestZoneLeaderDoesNotDependOnTheScheduler: entry VMs that start at the same instant of virtual time would race.
func TestZoneLeaderDoesNotDependOnTheScheduler(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		w := startVirtual(t, "sohar")
		defer w.stop()
		for i := 1; i < len(w.entries); i++ {
			earlier, later := w.entries[i-1].row, w.entries[i].row
			if gap := later.Since.Sub(earlier.Since); gap < startGap {
				t.Errorf("%s starts %v after %s, want %v or more", later.Name, gap, earlier.Name, startGap)
			}
		}
	})
}
