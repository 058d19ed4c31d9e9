package placement

import (
	"testing"
	"time"

	"github.com/azureflow/azureflow/internal/routing"
)

// A refusal for lack of capacity names its basis, so that its log line is not mistaken for another one.
func TestRefusalNamesItsBasis(t *testing.T) {
	const work, short = 400 * time.Millisecond, 300 * time.Millisecond
	measured := func(r *timedRoute) { r.sendEvery(minSamplesToCompare*time.Second, time.Second) }
	full := func(r *timedRoute) {
		for _, s := range r.chooser.servers {
			s.applyReport(Load{Running: 6, Waiting: 6, Slots: 6, Slowness: 1}, r.now)
		}
	}
	for name, test := range map[string]struct {
		prepare func(r *timedRoute)
		want    Basis
	}{
		"measured time": {func(r *timedRoute) { measured(r); r.timeLeft = short }, BasisRun},
		"no free slot":  {func(r *timedRoute) { measured(r); full(r); r.timeLeft = work + 100*time.Millisecond }, BasisWait},
		"long round trip": {func(r *timedRoute) {
			measured(r)
			for _, s := range r.chooser.servers {
				s.rtt, s.rttMeasured = 1, r.now
			}
			r.timeLeft = short
		}, BasisDistance},
		"run that did not end": {func(r *timedRoute) {
			r.timeLeft, r.serviceTime = short, 3*short
			r.sendOne()
			r.now = r.now.Add(short)
			r.finishRuns()
		}, BasisUnfinished},
		"responses that waited": {func(r *timedRoute) {
			r.reportedRunning, r.reportedWaiting = 6, 1
			r.sendOne()
			r.now = r.now.Add(work)
			r.finishRuns()
			r.timeLeft = short
		}, BasisWaited},
		"another request on trial": {func(r *timedRoute) {
			measured(r)
			r.now = r.now.Add(2 * maxEvidenceLifetime)
			r.timeLeft = short
			r.sendOne()
		}, BasisTrial},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTimedRoute(work, 10*time.Second, work)
			test.prepare(r)
			sent := r.sent
			r.sendOne()
			if r.sent > sent {
				t.Fatal("the request is sent, want a refusal")
			}
			if got := r.lastRefusal; got.Basis != test.want || got.BestLatency <= got.TimeLeft && test.want != BasisWait {
				t.Errorf("basis %q, want %q: %+v", got.Basis, test.want, got)
			}
		})
	}
}

// Bounds on the wait hold where the region's slots are full, and only for requests that have them.
func TestWaitBoundsHoldWhereSlotsAreFull(t *testing.T) {
	bounds := &WaitBounds{InTime: 50 * time.Millisecond, Late: 10 * time.Millisecond}
	for _, test := range []struct {
		name    string
		running int // at each server, of 6 slots
		bounds  *WaitBounds
		want    Basis
	}{
		{"no bounds", 8, nil, BasisNone},
		{"free slots", 5, bounds, BasisNone},
		{"full", 8, bounds, BasisOrder},
	} {
		c := NewChooser(Options{Region: "r"})
		c.SetMembership(&Membership{Members: []Member{{ID: "a", Service: "desk", Slots: 6, Region: "r"}, {ID: "b", Service: "desk", Slots: 6, Region: "r"}}})
		now := time.Unix(1000, 0)
		for _, s := range c.servers {
			s.applyReport(Load{Running: test.running, Slots: 6, Slowness: 1}, now)
		}
		route := &routing.Route{Name: "lookup", TargetLatency: time.Second}
		_, refusal := c.Place(&Query{
			Route: route, Service: "desk", TimeLeft: 5 * time.Second, TargetLeft: time.Second, FirstAttempt: true, WaitBounds: test.bounds,
		}, now)
		basis := BasisNone
		if refusal != nil {
			basis = refusal.Basis
		}
		if basis != test.want || refusal != nil && !refusal.IsForRoom() {
			t.Errorf("%s: basis %q, want %q", test.name, basis, test.want)
		}
	}
}
