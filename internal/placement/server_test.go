package placement

import (
	"testing"
	"time"
)

// A machine that was slow at its last report kept a third of that for good, and so got no request that would show more.
func TestSlownessFadesWithoutReports(t *testing.T) {
	s := newServer(member("a", "north"))
	s.report(Load{Running: 1, Slots: 6, Slowness: 20}, start)
	if got := s.slownessAt(start.Add(slownessKeep)); got != 20 {
		t.Errorf("%.1f while the report is new, want 20", got)
	}
	if got := s.slownessAt(start.Add(15 * time.Second)); got > 1.1 { // recover_s of the users' bounds
		t.Errorf("%.1f 15 s after the last report", got)
	}
}

// One connection that took long to open made its server look far away for as long as no other was opened.
func TestRoundTripOfOneConnectionFades(t *testing.T) {
	const dialed = 550 * time.Millisecond // a lost packet, below the timeout of connecting
	c := testChooser(member("a", "north"))
	p, _ := c.Place(testQuery(1), start)
	c.RecordRoundTrip(p, dialed, start)
	c.RecordResult(p, answered(), start)
	now := start.Add(15 * time.Second) // recover_s of the users' bounds
	q := testQuery(1)
	q.TimeLeft = 500 * time.Millisecond
	if p, refusal := c.Place(q, now); p == nil {
		t.Errorf("refused by an idle server: %+v", refusal)
	}
}
