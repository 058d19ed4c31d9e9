package forward

import (
	"testing"
	"time"
)

// One caller with much patience made all others of its route look like callers that came back, for good.
func TestOnePatientCallerIsForgotten(t *testing.T) {
	d := newDeadlines()
	now := time.Unix(1000, 0)
	if used := d.used("route", 10*time.Minute, now); used != 0 {
		t.Errorf("the first caller has waited for %v", used)
	}
	for range 2 * patienceWindow / time.Second {
		now = now.Add(time.Second)
		d.used("route", 3*time.Second, now)
	}
	if used := d.used("route", 3*time.Second, now); used != 0 {
		t.Errorf("a new caller is taken to have waited for %v", used)
	}
	if used := d.used("route", time.Second, now); used < time.Second {
		t.Errorf("a caller with 1 s left of 3 is taken to have waited for %v", used)
	}
}
