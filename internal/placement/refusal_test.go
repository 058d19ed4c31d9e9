package placement

import (
	"testing"
	"time"
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
