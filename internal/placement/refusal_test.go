package placement

import (
	"testing"
	"time"
)

// A refusal for want of room names what it rests on, so that its line is not taken for another one.
func TestRefusalNamesWhatItRestsOn(t *testing.T) {
	const work, short = 400 * time.Millisecond, 300 * time.Millisecond
	measured := func(r *timedRoute) { r.ask(settledSamples*time.Second, time.Second) }
	full := func(r *timedRoute) {
		for _, s := range r.chooser.servers {
			s.report(Load{Running: 6, Waiting: 6, Slots: 6, Slowness: 1}, r.now)
		}
	}
	for name, test := range map[string]struct {
		prepare func(r *timedRoute)
		want    Basis
	}{
		"measured time": {func(r *timedRoute) { measured(r); r.left = short }, BasisRun},
		"no free slot":  {func(r *timedRoute) { measured(r); full(r); r.left = work + 100*time.Millisecond }, BasisWait},
		"far away": {func(r *timedRoute) {
			measured(r)
			for _, s := range r.chooser.servers {
				s.rtt, s.dialed = 1, r.now
			}
			r.left = short
		}, BasisDistance},
		"run that did not end": {func(r *timedRoute) {
			r.left, r.work = short, 3*short
			r.askOnce()
			r.now = r.now.Add(short)
			r.finish()
		}, BasisUnfinished},
		"answers that waited": {func(r *timedRoute) {
			r.reportedRunning, r.reportedWaiting = 6, 1
			r.askOnce()
			r.now = r.now.Add(work)
			r.finish()
			r.left = short
		}, BasisWaited},
		"another request on trial": {func(r *timedRoute) {
			measured(r)
			r.now = r.now.Add(2 * longestTrust)
			r.left = short
			r.askOnce()
		}, BasisTrial},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTimedRoute(work, 10*time.Second, work)
			test.prepare(r)
			sent := r.sent
			r.askOnce()
			if r.sent > sent {
				t.Fatal("the request is sent")
			}
			if got := r.lastRefusal; got.Basis != test.want || got.BestLatency <= got.TimeLeft && test.want != BasisWait {
				t.Errorf("basis %q of %q: %+v", got.Basis, test.want, got)
			}
		})
	}
}
