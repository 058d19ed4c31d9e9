package upstream

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/azureflow/azureflow/internal/request"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// drive sends n lookups, one a millisecond; slow servers answer in 160 ms, failing ones with failure.
func drive(p *Pool, from time.Time, n int, slow map[vm.Name]bool, failure map[vm.Name]request.Failure) (map[vm.Name]int, time.Time) {
	sent := map[vm.Name]int{}
	now := from
	for range n {
		now = now.Add(time.Millisecond)
		r, err := p.Acquire(Query{Now: now})
		if err != nil {
			continue
		}
		name := r.Server.Name
		sent[name]++
		latency := 8 * time.Millisecond
		if slow[name] {
			latency *= 20
		}
		r.Release(request.AttemptResult{Failure: failure[name], FirstByte: latency, Total: latency}, now.Add(latency))
	}
	return sent, now
}

func ejectedNames(p *Pool, now time.Time) map[vm.Name]string {
	names := map[vm.Name]string{}
	for _, s := range p.Servers(now) {
		if s.Ejected != "" {
			names[s.Name] = s.Ejected
		}
	}
	return names
}

func TestSlowServerIsEjectedAndReturns(t *testing.T) {
	p := newTestPool(12, Options{})
	_, now := drive(p, start, 1000, nil, nil)
	sent, now := drive(p, now, 5000, map[vm.Name]bool{"saldo-01": true}, nil)
	if sent["saldo-01"] > 25 || ejectedNames(p, now)["saldo-01"] != "slow" {
		t.Fatalf("slow server got %d of 5000, ejected %v", sent["saldo-01"], ejectedNames(p, now))
	}
	_, now = drive(p, now, 3000, nil, nil)
	if len(ejectedNames(p, now)) != 0 {
		t.Fatalf("not returned: %v", ejectedNames(p, now))
	}
}

func TestStallIsSeenBeforeItsFirstAnswer(t *testing.T) {
	p := newTestPool(4, Options{})
	_, now := drive(p, start, 1000, nil, nil)
	var held []*Reservation
	for range 8 { // two on each server, none of which saldo-01 answers
		held = append(held, mustAcquire(t, p, Query{Now: now}))
	}
	for _, r := range held {
		if r.Server.Name != "saldo-01" {
			finish(r, 8*time.Millisecond, now.Add(8*time.Millisecond))
		}
	}
	sent, now := drive(p, now.Add(100*time.Millisecond), 100, nil, nil)
	if sent["saldo-01"] != 0 || ejectedNames(p, now)["saldo-01"] != "slow" {
		t.Fatalf("stalled server got %d, ejected %v", sent["saldo-01"], ejectedNames(p, now))
	}
}

func TestFailuresEject(t *testing.T) {
	for failure, wantEjected := range map[request.Failure]bool{
		request.FailureDial: true, request.FailureReset: true, request.FailureServer: true,
		request.FailureSilent: false, request.FailureCancelled: false, request.FailureShed: false,
	} {
		p := newTestPool(4, Options{})
		_, now := drive(p, start, 200, nil, nil)
		sent, now := drive(p, now, 2000, nil, map[vm.Name]request.Failure{"saldo-01": failure})
		if _, ejected := ejectedNames(p, now)["saldo-01"]; ejected != wantEjected {
			t.Errorf("failure %d: ejected %v", failure, ejected)
		}
		if wantEjected && sent["saldo-01"] > 10 {
			t.Errorf("failure %d: %d attempts in 2 s", failure, sent["saldo-01"])
		}
	}
}

func TestFastFailuresAttractNoWork(t *testing.T) {
	p := newTestPool(2, Options{FailThreshold: 1 << 20})
	_, now := drive(p, start, 200, nil, nil)
	before := p.Servers(now)[0].Latency
	r := mustAcquire(t, p, Query{Exclude: []vm.Name{"saldo-02"}, Now: now})
	r.Release(request.AttemptResult{Failure: request.FailureServer, FirstByte: time.Microsecond}, now)
	if after := p.Servers(now)[0].Latency; after != before {
		t.Fatalf("a failure lowered the latency from %v to %v", before, after)
	}
}

func TestTrialGoesBeforeReturn(t *testing.T) {
	p := newTestPool(4, Options{})
	down := map[vm.Name]request.Failure{"saldo-01": request.FailureDial}
	_, now := drive(p, start, 500, nil, down)
	now = now.Add(time.Minute)
	trial := 0
	for range 12 {
		if r := mustAcquire(t, p, Query{Now: now}); r.Server.Name == "saldo-01" {
			trial++
		}
	}
	if trial != 1 {
		t.Fatalf("%d attempts before the trial ended", trial)
	}
}

func TestTrialAvoidsHedgesAndFragileWork(t *testing.T) {
	p := newTestPool(4, Options{})
	drive(p, start, 500, nil, map[vm.Name]request.Failure{"saldo-01": request.FailureDial})
	now := p.EjectedUntil("saldo-01").Add(time.Millisecond)
	for _, q := range []Query{{Hedge: true, Now: now}, {NoTrial: true, Now: now}} {
		if r := mustAcquire(t, p, q); r.Server.Name == "saldo-01" {
			t.Fatalf("%+v was used as a trial", q)
		}
	}
	later := now.Add(3 * time.Second)
	if r := mustAcquire(t, p, Query{NoTrial: true, Now: later}); r.Server.Name != "saldo-01" {
		t.Fatal("a service with nothing but such work never gets its server back")
	}
}

func TestRetryUsesAnEjectedServerAtLast(t *testing.T) {
	p := newTestPool(2, Options{})
	_, now := drive(p, start, 500, nil, map[vm.Name]request.Failure{"saldo-01": request.FailureReset})
	if len(ejectedNames(p, now)) != 1 {
		t.Fatalf("ejected %v", ejectedNames(p, now))
	}
	tried := Query{Exclude: []vm.Name{"saldo-02"}, NoTrial: true, Now: now}
	if r := mustAcquire(t, p, tried); r.Server.Name != "saldo-01" {
		t.Fatalf("retry went to %s again", r.Server.Name)
	}
	tried.Hedge = true
	if _, err := p.Acquire(tried); err == nil {
		t.Fatal("hedge to an ejected server")
	}
}

// TestEjectionNeverEmptiesAService drives pools whose servers fail, stall, leave and restart at
// random: as long as one server stays, some server takes work.
func TestEjectionNeverEmptiesAService(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "servers")
		p := newTestPool(n, Options{})
		now := start
		leaving := map[vm.Name]bool{}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			slow, failure := map[vm.Name]bool{}, map[vm.Name]request.Failure{}
			for _, s := range listed(n) {
				slow[s.Name] = rapid.Bool().Draw(t, "slow")
				failure[s.Name] = request.Failure(rapid.IntRange(0, 6).Draw(t, "failure"))
			}
			_, now = drive(p, now, 100, slow, failure)
			if i := rapid.IntRange(0, n-1).Draw(t, "leaves"); rapid.Bool().Draw(t, "drain") {
				p.MarkDraining(listed(n)[i].Name, now)
				leaving[listed(n)[i].Name] = true
			}
			now = now.Add(time.Second) // longer than a shed server is left alone
			_, err := p.Acquire(Query{Class: steering.ClassInteractive, Now: now})
			if len(leaving) < n && p.InFlight() < n-len(leaving) && err != nil {
				t.Fatalf("%d of %d leave, in flight %d: %v, %+v", len(leaving), n, p.InFlight(), err, p.Servers(now))
			}
			if len(leaving) == n && err == nil {
				t.Fatal("work for a leaving server")
			}
		}
	})
}
