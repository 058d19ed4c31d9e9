package clock

import (
	"runtime"
	"testing"
	"time"
)

// The time since boot does not run behind the monotonic clock.
func TestSinceBoot(t *testing.T) {
	first, ok := SinceBoot()
	if !ok {
		if runtime.GOOS == "linux" {
			t.Fatal("not known")
		}
		t.Skip("not known on this system")
	}
	startedAt := time.Now()
	time.Sleep(time.Millisecond)
	steady := time.Since(startedAt)
	if second, ok := SinceBoot(); !ok || first <= 0 || second-first < steady {
		t.Errorf("%v after %v, while the monotonic clock went on by %v", second, first, steady)
	}
}
