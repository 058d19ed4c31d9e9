package upstream

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/azureflow/azureflow/internal/request"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// runLookups sends n lookups, one a millisecond. Slow servers respond in 160 ms, the others in 8 ms, and failing ones
// with their entry in failure. It returns the attempts by server and the time after the last lookup.
func runLookups(p *Pool, from time.Time, n int, slow map[vm.Name]bool, failure map[vm.Name]request.Failure) (map[vm.Name]int, time.Time) {
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
	_, now := runLookups(p, start, 1000, nil, nil)
	sent, now := runLookups(p, now, 5000, map[vm.Name]bool{"saldo-01": true}, nil)
	if sent["saldo-01"] > 25 || ejectedNames(p, now)["saldo-01"] != "slow" {
		t.Fatalf("slow server got %d of 5000 lookups, want at most 25; ejected %v", sent["saldo-01"], ejectedNames(p, now))
	}
	_, now = runLookups(p, now, 3000, nil, nil)
	if len(ejectedNames(p, now)) != 0 {
		t.Fatalf("still ejected: %v", ejectedNames(p, now))
	}
}

func TestStallIsDetectedBeforeFirstResponse(t *testing.T) {
	p := newTestPool(4, Options{})
	_, now := runLookups(p, start, 1000, nil, nil)
	var reservations []*Reservation
	for range 8 { // two on each server; saldo-01 responds to none
		reservations = append(reservations, mustAcquire(t, p, Query{Now: now}))
	}
	for _, r := range reservations {
		if r.Server.Name != "saldo-01" {
			finish(r, 8*time.Millisecond, now.Add(8*time.Millisecond))
		}
	}
	sent, now := runLookups(p, now.Add(100*time.Millisecond), 100, nil, nil)
	if sent["saldo-01"] != 0 || ejectedNames(p, now)["saldo-01"] != "slow" {
		t.Fatalf("stalled server got %d of 100 lookups, want 0; ejected %v", sent["saldo-01"], ejectedNames(p, now))
	}
}

func TestFailuresEject(t *testing.T) {
	for failure, wantEjected := range map[request.Failure]bool{
		request.FailureDial: true, request.FailureReset: true, request.FailureServer: true,
		request.FailureSilent: false, request.FailureCancelled: false, request.FailureShed: false,
	} {
		p := newTestPool(4, Options{})
		_, now := runLookups(p, start, 200, nil, nil)
		sent, now := runLookups(p, now, 2000, nil, map[vm.Name]request.Failure{"saldo-01": failure})
		if _, ejected := ejectedNames(p, now)["saldo-01"]; ejected != wantEjected {
			t.Errorf("failure %d: ejected is %v, want the opposite", failure, ejected)
		}
		if wantEjected && sent["saldo-01"] > 10 {
			t.Errorf("failure %d: %d attempts in 2 s, want at most 10", failure, sent["saldo-01"])
		}
	}
}

func TestFastFailuresAttractNoWork(t *testing.T) {
	p := newTestPool(2, Options{FailThreshold: 1 << 20})
	_, now := runLookups(p, start, 200, nil, nil)
	before := p.Servers(now)[0].Latency
	r := mustAcquire(t, p, Query{Exclude: []vm.Name{"saldo-02"}, Now: now})
	r.Release(request.AttemptResult{Failure: request.FailureServer, FirstByte: time.Microsecond}, now)
	if after := p.Servers(now)[0].Latency; after != before {
		t.Fatalf("a failed attempt changed the latency from %v to %v", before, after)
	}
}

func TestTrialPrecedesReturnToUse(t *testing.T) {
	p := newTestPool(4, Options{})
	down := map[vm.Name]request.Failure{"saldo-01": request.FailureDial}
	_, now := runLookups(p, start, 500, nil, down)
	now = now.Add(time.Minute)
	trial := 0
	for range 12 {
		if r := mustAcquire(t, p, Query{Now: now}); r.Server.Name == "saldo-01" {
			trial++
		}
	}
	if trial != 1 {
		t.Fatalf("%d attempts at the ejected server before its trial ended, want 1", trial)
	}
}

func TestTrialExcludesHedgesAndNoTrialQueries(t *testing.T) {
	p := newTestPool(4, Options{})
	runLookups(p, start, 500, nil, map[vm.Name]request.Failure{"saldo-01": request.FailureDial})
	now := p.EjectedUntil("saldo-01").Add(time.Millisecond)
	for _, q := range []Query{{Hedge: true, Now: now}, {NoTrial: true, Now: now}} {
		if r := mustAcquire(t, p, q); r.Server.Name == "saldo-01" {
			t.Fatalf("query %+v became a trial request", q)
		}
	}
	later := now.Add(3 * time.Second)
	if r := mustAcquire(t, p, Query{NoTrial: true, Now: later}); r.Server.Name != "saldo-01" {
		t.Fatal("a service with only NoTrial queries does not get its server back")
	}
}

func TestRetryUsesEjectedServerAsLastResort(t *testing.T) {
	p := newTestPool(2, Options{})
	_, now := runLookups(p, start, 500, nil, map[vm.Name]request.Failure{"saldo-01": request.FailureReset})
	if len(ejectedNames(p, now)) != 1 {
		t.Fatalf("ejected %v, want 1 server", ejectedNames(p, now))
	}
	tried := Query{Exclude: []vm.Name{"saldo-02"}, NoTrial: true, Now: now}
	if r := mustAcquire(t, p, tried); r.Server.Name != "saldo-01" {
		t.Fatalf("retry went to %s, which was already tried", r.Server.Name)
	}
	tried.Hedge = true
	if _, err := p.Acquire(tried); err == nil {
		t.Fatal("hedge got an ejected server")
	}
}

// TestEjectionNeverEmptiesAService runs pools whose servers fail, slow down and leave at random. As long as one server
// is not leaving, some server accepts an attempt.
func TestEjectionNeverEmptiesAService(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "servers")
		p := newTestPool(n, Options{})
		now := start
		leaving := map[vm.Name]bool{}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			slow, failure := map[vm.Name]bool{}, map[vm.Name]request.Failure{}
			for _, s := range listedServers(n) {
				slow[s.Name] = rapid.Bool().Draw(t, "slow")
				failure[s.Name] = request.Failure(rapid.IntRange(0, 6).Draw(t, "failure"))
			}
			_, now = runLookups(p, now, 100, slow, failure)
			if i := rapid.IntRange(0, n-1).Draw(t, "leaves"); rapid.Bool().Draw(t, "drain") {
				p.MarkDraining(listedServers(n)[i].Name, now)
				leaving[listedServers(n)[i].Name] = true
			}
			now = now.Add(time.Second) // longer than the longest backoff after a shed request
			_, err := p.Acquire(Query{Class: steering.ClassInteractive, Now: now})
			if len(leaving) < n && p.InFlight() < n-len(leaving) && err != nil {
				t.Fatalf("%d of %d servers are leaving, %d attempts in flight: %v, %+v", len(leaving), n, p.InFlight(), err, p.Servers(now))
			}
			if len(leaving) == n && err == nil {
				t.Fatal("attempt at a leaving server")
			}
		}
	})
}
