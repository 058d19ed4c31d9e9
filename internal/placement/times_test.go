package placement

import (
	"testing"
	"time"

	"github.com/azureflow/azureflow/internal/routing"
)

// timedRoute drives one route at one entry VM and one server, in virtual time.
type timedRoute struct {
	chooser *Chooser
	route   *routing.Route
	left    time.Duration // that callers have
	work    time.Duration // of a request at the server
	now     time.Time

	running         []timedRun
	sent, inVain    int
	refused         int
	mostTogether    int
	lastRefusal     *Refusal
	reportedRunning int // by the server, of others
	reportedWaiting int
	slowness        float64 // that servers report; 0: as usual
}

type timedRun struct {
	placement *Placement
	ends      time.Time
	result    Result
}

func newTimedRoute(target, left, work time.Duration) *timedRoute {
	return &timedRoute{
		chooser: testChooser(member("a", "north"), member("b", "north")),
		route:   &routing.Route{Name: "added", TargetLatency: target, MaxAttempts: 2},
		left:    left, work: work, now: start,
	}
}

// ask sends a request every gap for span.
func (r *timedRoute) ask(span, gap time.Duration) {
	for end := r.now.Add(span); r.now.Before(end); r.now = r.now.Add(gap) {
		r.finish()
		r.askOnce()
	}
}

func (r *timedRoute) askOnce() {
	p, refusal := r.chooser.Place(&Query{Route: r.route, Service: "desk", TimeLeft: r.left, TargetLeft: r.route.TargetLatency, FirstAttempt: true}, r.now)
	if refusal != nil {
		r.refused++
		r.lastRefusal = refusal
		return
	}
	r.sent++
	run := timedRun{placement: p, ends: r.now.Add(r.work), result: Result{Outcome: OutcomeSuccess, Latency: r.work}}
	if r.work > r.left {
		r.inVain++
		run.ends = r.now.Add(r.left)
		run.result = Result{Outcome: OutcomeNoResponse, Latency: r.left, Unfinished: true}
	}
	if r.reportedRunning > 0 || r.slowness > 0 {
		run.result.Load = &Load{Running: r.reportedRunning, Waiting: r.reportedWaiting, Slots: 6, Slowness: max(r.slowness, 1)}
	}
	r.running = append(r.running, run)
	r.mostTogether = max(r.mostTogether, len(r.running))
}

// finish ends the runs that are over.
func (r *timedRoute) finish() {
	rest := r.running[:0]
	for _, run := range r.running {
		if run.ends.After(r.now) {
			rest = append(rest, run)
			continue
		}
		r.chooser.RecordResult(run.placement, &run.result, run.ends)
	}
	r.running = rest
}

// CONFIG on zollbrugg-gate, mix --seed 715510159183: requests of an added route had 0.85 to 1 s left, its target
// latency is 1 s, and none was sent to an idle server all day.
func TestAddedRouteIsServedThoughItsTargetExceedsWhatCallersLeave(t *testing.T) {
	r := newTimedRoute(time.Second, 900*time.Millisecond, 2*time.Millisecond)
	r.ask(30*time.Second, 500*time.Millisecond)
	if r.refused > 0 {
		t.Errorf("%d of %d requests of an added route are refused by idle servers: %+v", r.refused, r.refused+r.sent, r.lastRefusal)
	}
}

// The same where callers come faster than the first answer.
func TestAddedRouteIsServedUnderLoad(t *testing.T) {
	r := newTimedRoute(time.Second, 900*time.Millisecond, 100*time.Millisecond)
	r.ask(10*time.Second, 20*time.Millisecond)
	if r.refused > 0 {
		t.Errorf("%d of %d requests of an added route are refused with slots free: %+v", r.refused, r.refused+r.sent, r.lastRefusal)
	}
}

// CONFIG on zollbrugg-gate, mix --seed 9026: one request of an added route had taken 3 ms, and the next was refused since it
// would take 1,117 ms: the guess counted beside the answer.
func TestAddedRouteIsServedAfterItsFirstAnswers(t *testing.T) {
	for _, target := range []time.Duration{time.Second, 4 * time.Second} {
		for _, gap := range []time.Duration{20 * time.Millisecond, 500 * time.Millisecond} {
			r := newTimedRoute(target, 900*time.Millisecond, 2*time.Millisecond)
			r.slowness = 1.5
			r.ask(30*time.Second, gap)
			if r.refused > 0 {
				t.Errorf("target %v, a request each %v: %d of %d are refused by idle servers that take 2 ms: %+v",
					target, gap, r.refused, r.refused+r.sent, r.lastRefusal)
			}
		}
	}
}

// All slots of the service are taken, as others' requests come and go; the added route still gets its share.
func TestAddedRouteIsServedByFullServers(t *testing.T) {
	r := newTimedRoute(time.Second, 900*time.Millisecond, 150*time.Millisecond)
	r.reportedRunning, r.reportedWaiting = 6, 1
	for _, s := range r.chooser.servers {
		s.report(Load{Running: 6, Waiting: 1, Slots: 6, Slowness: 1}, start)
		s.busy = 0.15
	}
	r.ask(10*time.Second, 100*time.Millisecond)
	if r.refused*2 > r.sent {
		t.Errorf("%d of %d requests of an added route are refused by servers that answer in time", r.refused, r.refused+r.sent)
	}
}

// Servers were slow for a while, and the measured time rose above what callers leave.
func TestRouteIsServedAgainAfterItsServersWereSlow(t *testing.T) {
	r := newTimedRoute(400*time.Millisecond, 10*time.Second, 4*time.Second)
	r.ask(40*time.Second, time.Second)
	r.left, r.work = time.Second, 100*time.Millisecond
	r.now = r.now.Add(20 * time.Second) // servers' own factors are forgotten by then
	r.finish()
	r.ask(15*time.Second, 100*time.Millisecond) // recover_s of the users' bounds
	before, refused := r.sent, r.refused
	r.ask(10*time.Second, 100*time.Millisecond)
	if r.refused > refused {
		t.Errorf("%d of %d requests are refused 15 s after the servers recovered: %+v",
			r.refused-refused, r.refused-refused+r.sent-before, r.lastRefusal)
	}
}

// The same while all slots stay taken, so that every answer also waited.
func TestRouteIsServedAgainByFullServersThatWereSlow(t *testing.T) {
	r := newTimedRoute(400*time.Millisecond, 10*time.Second, 4*time.Second)
	r.ask(40*time.Second, time.Second)
	r.left, r.work = time.Second, 100*time.Millisecond
	r.now = r.now.Add(20 * time.Second)
	r.finish()
	r.reportedRunning, r.reportedWaiting = 6, 1
	r.ask(15*time.Second, 100*time.Millisecond) // recover_s of the users' bounds
	sent, refused := r.sent, r.refused
	r.ask(10*time.Second, 100*time.Millisecond)
	if sent, refused = r.sent-sent, r.refused-refused; refused > sent/4 {
		t.Errorf("%d of %d requests are refused 15 s after the servers recovered: %+v", refused, refused+sent, r.lastRefusal)
	}
}

// A route whose work fits into no caller's time is tried seldom, one request at a time once that is known.
func TestWorkThatFitsNoCallersTimeIsMostlyRefused(t *testing.T) {
	const asked = 1200
	r := newTimedRoute(500*time.Millisecond, time.Second, 3*time.Second)
	r.ask(2*time.Second, 50*time.Millisecond)
	r.mostTogether = 0
	r.ask(asked*50*time.Millisecond, 50*time.Millisecond)
	if r.inVain > asked/20 {
		t.Errorf("%d of %d requests are sent in vain", r.inVain, asked)
	}
	if r.mostTogether > 1 {
		t.Errorf("%d requests are tried together", r.mostTogether)
	}
	r.work = 100 * time.Millisecond
	r.ask(20*time.Second, 50*time.Millisecond) // longestTrust and a trial
	refused := r.refused
	r.ask(5*time.Second, 50*time.Millisecond)
	if r.refused > refused {
		t.Errorf("%d requests are refused though the work fits now", r.refused-refused)
	}
}

// What was learned of a route before its first sample binds no longer after it.
func TestFirstSampleOutweighsARunThatDidNotEnd(t *testing.T) {
	var s serviceTime
	s.learnUnfinished(3, start)
	s.learnTrial(0.1, start)
	e := estimate{times: &s, service: s.mean, slow: 1}
	if q := (&Query{TimeLeft: time.Second}); e.trial(q) {
		t.Errorf("a request with %v left is tried against a service time of %.1f s", q.TimeLeft, s.mean)
	}
}

// A route that moves to another service is measured anew there.
func TestRouteThatMovedIsNotRefusedForTheTimesOfItsOldService(t *testing.T) {
	r := newTimedRoute(400*time.Millisecond, 10*time.Second, 4*time.Second)
	r.ask(20*time.Second, time.Second)
	r.now = r.now.Add(5 * time.Second)
	r.finish()
	moved := member("c", "north")
	moved.Service = "vault"
	r.chooser.SetMembership(&Membership{Members: []Member{moved}})
	query := &Query{Route: r.route, Service: "vault", TimeLeft: time.Second, TargetLeft: r.route.TargetLatency, FirstAttempt: true}
	if _, refusal := r.chooser.Place(query, r.now); refusal != nil {
		t.Errorf("refused by an idle service that was never asked: %+v", refusal)
	}
}

// Requests of an added route that take 2 ms where 1 s was guessed made their servers look twice as fast to all others.
func TestGuessSaysNothingOfServers(t *testing.T) {
	r := newTimedRoute(time.Second, 3*time.Second, 2*time.Millisecond)
	r.ask(settledSamples*100*time.Millisecond, 100*time.Millisecond)
	for id, s := range r.chooser.servers {
		if got := s.factorAt(r.now); got < 0.99 || got > 1.01 {
			t.Errorf("server %s is taken to need %.2f of the usual time", id, got)
		}
	}
}
