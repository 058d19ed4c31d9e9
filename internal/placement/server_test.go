package placement

import (
	"testing"
	"time"
)

// Regression: a machine that was slow at its last report kept a third of that for good, and so got no request that
// would have shown its speed.
func TestSlownessFadesWithoutReports(t *testing.T) {
	s := newServer(member("a", "north"))
	s.applyReport(Load{Running: 1, Slots: 6, Slowness: 20}, start)
	if got := s.slownessAt(start.Add(slownessFresh)); got != 20 {
		t.Errorf("slowness %.1f while the report is new, want 20", got)
	}
	if got := s.slownessAt(start.Add(15 * time.Second)); got > 1.1 { // recover_s of the required bounds
		t.Errorf("slowness %.1f 15 s after the last report, want at most 1.1", got)
	}
}

// Regression: one connection that took long to open made its server look far away for as long as no other was opened.
func TestRoundTripOfOneConnectionFades(t *testing.T) {
	const dialed = 550 * time.Millisecond // a lost packet, below the connect timeout
	c := testChooser(member("a", "north"))
	p, _ := c.Place(testQuery(1), start)
	c.RecordRoundTrip(p, dialed, start)
	c.RecordResult(p, success(), start)
	now := start.Add(15 * time.Second) // recover_s of the required bounds
	q := testQuery(1)
	q.TimeLeft = 500 * time.Millisecond
	if p, refusal := c.Place(q, now); p == nil {
		t.Errorf("refused by an idle server: %+v", refusal)
	}
}
