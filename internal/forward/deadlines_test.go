package forward

import (
	"testing"
	"time"
)

// Guards against a single long deadline that is never forgotten: it makes all later callers of the route look like
// callers that retry.
func TestLongDeadlineExpires(t *testing.T) {
	d := newDeadlines()
	now := time.Unix(1000, 0)
	if used := d.minWaited("route", 10*time.Minute, now); used != 0 {
		t.Errorf("the first caller counts as having waited for %v, want 0", used)
	}
	for range 2 * deadlineWindow / time.Second {
		now = now.Add(time.Second)
		d.minWaited("route", 3*time.Second, now)
	}
	if used := d.minWaited("route", 3*time.Second, now); used != 0 {
		t.Errorf("a new caller counts as having waited for %v, want 0", used)
	}
	if used := d.minWaited("route", time.Second, now); used < time.Second {
		t.Errorf("a caller with 1 s left of 3 counts as having waited for %v, want 1 s or more", used)
	}
}
