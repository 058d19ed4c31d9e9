package upstream

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azureflow/azureflow/internal/clock"
	"github.com/azureflow/azureflow/internal/request"
	"github.com/azureflow/azureflow/internal/vm"
)

// fakeSource responds to polls after a delay and counts them.
type fakeSource struct {
	delay time.Duration

	mu       sync.Mutex
	polls    map[vm.Name]int
	draining map[vm.Name]bool
}

func (f *fakeSource) Load(ctx context.Context, server vm.VM) (request.UpstreamLoad, error) {
	if clock.Sleep(ctx, f.delay) != nil {
		return request.UpstreamLoad{}, ctx.Err()
	}
	return request.UpstreamLoad{InFlight: 1}, nil
}

func (f *fakeSource) Draining(ctx context.Context, server vm.VM) (bool, error) {
	if clock.Sleep(ctx, f.delay) != nil {
		return false, ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.polls[server.Name]++
	return f.draining[server.Name], nil
}

func runPoller(t *testing.T, servers int, source *fakeSource, d time.Duration) *Pool {
	p := NewPool(Options{})
	p.Update(listedServers(servers), time.Now())
	poller := NewPoller(PollerOptions{Pools: func() []*Pool { return []*Pool{p} }, Source: source})
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	poller.Run(ctx)
	return p
}

func TestPollerSeesADrainWithinThreeSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{delay: 6 * time.Millisecond, polls: map[vm.Name]int{}, draining: map[vm.Name]bool{"saldo-07": true}}
		p := runPoller(t, 12, source, 3*time.Second)
		for _, s := range p.Servers(time.Now()) {
			if s.Leaving != (s.Name == "saldo-07") || s.ReportAge < 0 {
				t.Fatalf("%+v, want only saldo-07 leaving, and a load report", s)
			}
		}
	})
}

func TestPollerKeepsItsBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{delay: 6 * time.Millisecond, polls: map[vm.Name]int{}}
		runPoller(t, 1200, source, 20*time.Second)
		total := 0
		for _, n := range source.polls {
			total += n
		}
		if total > 1100 || total < 900 { // 50 a second
			t.Fatalf("%d polls in 20 s, want 900 to 1100", total)
		}
	})
}

func TestPollerOutlivesServersThatHang(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{delay: time.Hour, polls: map[vm.Name]int{}}
		p := runPoller(t, 12, source, 10*time.Second)
		if len(ejectedNames(p, time.Now())) != 0 {
			t.Fatal("a poll without a response ejected a server")
		}
	})
}

// TestUnseenServersGetNoWork checks that servers that polls no longer reach get no new requests until a poll reaches
// them again.
func TestUnseenServersGetNoWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{delay: 6 * time.Millisecond, polls: map[vm.Name]int{}}
		signals := 0
		p := NewPool(Options{OnCapacity: func() { signals++ }})
		p.Update(listedServers(12), time.Now())
		poll := func(d time.Duration) {
			ctx, cancel := context.WithTimeout(t.Context(), d)
			defer cancel()
			NewPoller(PollerOptions{Pools: func() []*Pool { return []*Pool{p} }, Source: source}).Run(ctx)
		}
		usable := func() int {
			acquired := 0
			for ; acquired < 60; acquired++ {
				r, err := p.Acquire(Query{Now: time.Now()})
				if err != nil {
					break
				}
				defer r.Release(request.AttemptResult{Failure: request.FailureSilent}, time.Now())
			}
			return acquired
		}
		poll(1900 * time.Millisecond)
		if n := usable(); n != 60 {
			t.Errorf("%d of 60 slots acquired while polls reach all servers, want 60", n)
		}
		source.delay = time.Hour
		poll(2900 * time.Millisecond)
		if n := usable(); n != 0 {
			t.Errorf("%d slots acquired on servers without contact for 2.2 s, want 0", n)
		}
		signals, source.delay = 0, 6*time.Millisecond
		poll(1900 * time.Millisecond)
		if n := usable(); n != 60 || signals < 12 {
			t.Errorf("%d of 60 slots acquired after polls reach the servers again, %d calls of OnCapacity, want at least 12", n, signals)
		}
	})
}
