package upstream

import (
	"errors"
	"testing"
	"time"

	"github.com/azureflow/azureflow/internal/request"
	"github.com/azureflow/azureflow/internal/review"
	"github.com/azureflow/azureflow/internal/vm"
)

func TestLeavingServerGetsNoNewWork(t *testing.T) {
	notices := map[string]func(p *Pool, now time.Time){
		"VM list": func(p *Pool, now time.Time) {
			list := listedServers(4)
			list[0].State, list[0].Since = vm.StateLeaving, now
			p.Update(list, now)
		},
		"health or peer": func(p *Pool, now time.Time) { p.MarkDraining("saldo-01", now) },
		"load report": func(p *Pool, now time.Time) {
			p.RecordLoadReport("saldo-01", request.UpstreamLoad{Draining: true}, now)
		},
		"response": func(p *Pool, now time.Time) {
			for {
				r, err := p.Acquire(Query{Exclude: []vm.Name{"saldo-02", "saldo-03", "saldo-04"}, Now: now})
				if err != nil {
					return
				}
				r.Release(request.AttemptResult{Load: &request.UpstreamLoad{Draining: true}}, now)
			}
		},
	}
	for name, notify := range notices {
		p := newTestPool(4, Options{})
		_, now := runLookups(p, start, 100, nil, nil)
		notify(p, now)
		sent, now := runLookups(p, now, 20_000, nil, nil)
		if sent["saldo-01"] != 0 {
			t.Errorf("%s: %d attempts after the notice, want 0", name, sent["saldo-01"])
		}
		p.RecordLoadReport("saldo-01", request.UpstreamLoad{}, now.Add(time.Second)) // a late report from before the drain
		if sent, _ = runLookups(p, now, 100, nil, nil); sent["saldo-01"] != 0 {
			t.Errorf("%s: a late report ended the drain", name)
		}
	}
}

func TestAllLeavingReportsDrainConstraint(t *testing.T) {
	p := newTestPool(1, Options{})
	p.MarkDraining("saldo-01", start)
	var none *NoServerError
	if _, err := p.Acquire(Query{Now: start}); !errors.As(err, &none) || none.Constraint != review.ConstraintDrain {
		t.Fatalf("error %v, want a NoServerError with constraint drain", err)
	}
	if none.Candidates[0].Reason != "leaving" {
		t.Fatalf("candidates %+v, want reason leaving", none.Candidates)
	}
}

func TestDrainEndsAfterRestartOrReportsWithoutDrain(t *testing.T) {
	p := newTestPool(2, Options{})
	p.MarkDraining("saldo-01", start)
	p.RecordLoadReport("saldo-01", request.UpstreamLoad{}, start.Add(31*time.Second))
	if p.Servers(start)[0].Leaving {
		t.Fatal("server still leaving after a report without a drain, 31 s after the last notice")
	}
	p.MarkDraining("saldo-01", start)
	list := listedServers(2)
	list[0].Since = start
	p.Update(list, start)
	if p.Servers(start)[0].Leaving {
		t.Fatal("server still leaving after a restart")
	}
}

func TestRestartedServerRampsUp(t *testing.T) {
	p := newTestPool(12, Options{})
	_, now := runLookups(p, start, 500, nil, nil)
	list := listedServers(12)
	list[0].Since = now
	p.Update(list, now)
	count := func(at time.Time) int {
		var reservations []*Reservation
		for {
			r, err := p.Acquire(Query{Now: at})
			if err != nil {
				break
			}
			reservations = append(reservations, r)
		}
		cold := 0
		for _, r := range reservations {
			if r.Server.Name == "saldo-01" {
				cold++
			}
			finish(r, 8*time.Millisecond, at)
		}
		return cold
	}
	early, half, warm := count(now), count(now.Add(5*time.Second)), count(now.Add(11*time.Second))
	if early != 1 || half != 3 || warm != 5 {
		t.Fatalf("slots used at 0 s, 5 s, 11 s: %d, %d, %d; want 1, 3, 5", early, half, warm)
	}
}

func TestNewPoolNeedsNoRamp(t *testing.T) {
	list := listedServers(3)
	for i := range list {
		list[i].Since = start
	}
	p := NewPool(Options{})
	p.Update(list, start)
	for _, s := range p.Servers(start) {
		if s.Warmth != 1 {
			t.Fatalf("%+v is cold although the whole pool is new", s)
		}
	}
}

func TestUpdateKeepsServerState(t *testing.T) {
	p := newTestPool(4, Options{})
	_, now := runLookups(p, start, 500, nil, map[vm.Name]request.Failure{"saldo-01": request.FailureDial})
	reservation := mustAcquire(t, p, Query{Now: now})
	p.Update(listedServers(3), now)
	if ejectedNames(p, now)["saldo-01"] != "failing" || p.Slots() != 10 {
		t.Fatalf("ejected %v, want saldo-01 failing; slots %d, want 10", ejectedNames(p, now), p.Slots())
	}
	finish(reservation, time.Millisecond, now)
	if p.InFlight() != 0 {
		t.Fatal("the attempt is still counted as in flight after the update")
	}
}
