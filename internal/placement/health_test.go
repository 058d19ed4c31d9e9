package placement

import (
	"testing"
	"time"
)

// A server that was ejected and is full when it is tried again must not be excluded for good.
func TestServerThatIsFullWhenTriedIsTriedAgain(t *testing.T) {
	c := testChooser(member("a", "north"))
	p, _ := c.Place(testQuery(1), start)
	c.RecordResult(p, &Result{Outcome: OutcomeNoConn}, start)
	now := start.Add(baseEjectionTime)
	trial, refusal := c.Place(testQuery(1), now)
	if trial == nil {
		t.Fatalf("no request is placed after the ejection: %+v", refusal)
	}
	full := &Load{Running: 6, Waiting: 0, Slots: 6, Slowness: 1}
	c.RecordResult(trial, &Result{Outcome: OutcomeShed, Load: full}, now)
	if p, refusal := c.Place(testQuery(1), now.Add(time.Minute)); p == nil {
		t.Errorf("no request is placed a minute after the trial: %+v", refusal)
	}
}
