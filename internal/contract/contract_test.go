package contract

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

const (
	service steering.ServiceName = "certdesk"
	home    steering.ZoneName    = "batinah-a"
)

var errLost = errors.New("lost")

func newGrantor(pool *SlotPool, slots int, opt GrantorOptions) *Grantor {
	opt.Zone, opt.Pool = home, pool
	opt.Leadership = func(now time.Time) Leadership {
		return Leadership{Epoch: 1, Until: now.Add(time.Hour), Held: true}
	}
	g := NewGrantor(opt)
	g.SetFloorParts(1, 0)
	g.SetCapacity(service, Capacity{Slots: slots, FloorShare: 0.25})
	return g
}

func requestSlots(t *testing.T, g *Grantor, req *peer.AskGrantRequest) *peer.AskGrantReply {
	t.Helper()
	req.Holder, req.Service, req.Zone = "e2", string(service), string(home)
	reply, err := g.AskGrant(t.Context(), req)
	if err != nil {
		t.Fatal(err)
	}
	return reply
}

func TestRetriedRequestGetsTheSameResponse(t *testing.T) {
	g := newGrantor(NewSlotPool(SlotPoolOptions{Self: "e1"}), 20, GrantorOptions{})
	first := requestSlots(t, g, &peer.AskGrantRequest{Slots: 8, RequestId: 5})
	retried := requestSlots(t, g, &peer.AskGrantRequest{Slots: 8, RequestId: 5})
	if first.Slots != 8 || first.GrantId != retried.GrantId || retried.Slots != 8 {
		t.Errorf("first reply %v, reply to the retry %v", first, retried)
	}
	if stale := requestSlots(t, g, &peer.AskGrantRequest{Slots: 8, RequestId: 4}); stale.Reason != ReasonStale || stale.Slots != 0 {
		t.Errorf("a request older than the last one got %v", stale)
	}
	if _, err := g.AskGrant(t.Context(), &peer.AskGrantRequest{Zone: "aare-a"}); !errors.As(err, new(*WrongZoneError)) {
		t.Errorf("request for another zone: got error %v, want *WrongZoneError", err)
	}
}

func TestFloorIsNeverGranted(t *testing.T) {
	pool := NewSlotPool(SlotPoolOptions{Self: "e1"})
	g := newGrantor(pool, 20, GrantorOptions{})
	if reply := requestSlots(t, g, &peer.AskGrantRequest{Slots: 100, RequestId: 1}); reply.Slots != 15 || reply.Reason != ReasonContract {
		t.Errorf("granted %v, want 15 of 20 slots", reply)
	}
	if n := pool.Usable(service, home, time.Now()); n != 5 {
		t.Errorf("%d slots usable by the grantor, want the floor of 5", n)
	}
}

func TestReturnedGrantIsUsableAtOnce(t *testing.T) {
	pool := NewSlotPool(SlotPoolOptions{Self: "e1"})
	g := newGrantor(pool, 20, GrantorOptions{})
	reply := requestSlots(t, g, &peer.AskGrantRequest{Slots: 10, RequestId: 1})
	req := &peer.ReturnGrantRequest{Holder: "e2", Service: string(service), Zone: string(home), GrantId: reply.GrantId}
	if r, err := g.ReturnGrant(t.Context(), req); err != nil || !r.Accepted || pool.Usable(service, home, time.Now()) != 20 {
		t.Errorf("return: reply %v, error %v, usable %d slots; want accepted and 20", r, err, pool.Usable(service, home, time.Now()))
	}
	if r, _ := g.ReturnGrant(t.Context(), req); r.Accepted {
		t.Error("the same grant was accepted as returned twice")
	}
}

func TestLowerCapacityShrinksLaterGrants(t *testing.T) {
	now := time.Now()
	pool := NewSlotPool(SlotPoolOptions{Self: "e1"})
	g := newGrantor(pool, 20, GrantorOptions{Now: func() time.Time { return now }})
	first := requestSlots(t, g, &peer.AskGrantRequest{Slots: 10, RequestId: 1})
	g.SetCapacity(service, Capacity{Slots: 8, FloorShare: 0.25}) // fewer servers
	if n := pool.Usable(service, home, now); n != 0 {
		t.Errorf("%d slots usable by the grantor while 10 of 8 are granted", n)
	}
	now = now.Add(2 * time.Second)
	if next := requestSlots(t, g, &peer.AskGrantRequest{Slots: 10, RequestId: 2, GrantId: first.GrantId}); next.Slots != 6 {
		t.Errorf("renewed to %v, want the 6 slots above the floor", next)
	}
	now = now.Add(2 * DefaultTTL)
	g.Tick(now)
	if n := pool.Usable(service, home, now); n != 8 {
		t.Errorf("%d slots usable by the grantor after the grants expired, want 8", n)
	}
}

func TestGrantExpiresDuringPause(t *testing.T) {
	pool := NewSlotPool(SlotPoolOptions{Self: "e2"})
	now := time.Now()
	pool.setGrant(Key{service, home}, 7, 3, now, now.Add(DefaultTTL))
	p, err := pool.Acquire(service, home, now)
	if err != nil || p.Grant != 7 {
		t.Fatalf("%v, %v", p, err)
	}
	if _, err := pool.Acquire(service, home, now.Add(DefaultTTL)); !errors.As(err, new(*NoSlotError)) {
		t.Errorf("Acquire after the pause: got error %v, want *NoSlotError", err)
	}
	wallOnly := now.Round(0).Add(DefaultTTL) // only the wall clock advanced
	if _, err := pool.Acquire(service, home, wallOnly); err == nil {
		t.Error("the grant is still valid after a suspension")
	}
}

// TestUseStaysWithinAllowances shrinks the allowances while several goroutines acquire and release slots.
func TestUseStaysWithinAllowances(t *testing.T) {
	pool := NewSlotPool(SlotPoolOptions{Self: "e1"})
	key := Key{service, home}
	now := time.Now()
	var workers sync.WaitGroup
	stop := make(chan struct{})
	for range 8 {
		workers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if p, err := pool.Acquire(service, home, now); err == nil {
					pool.Release(p)
				}
			}
		})
	}
	a := pool.state(key)
	for i := range 20000 {
		over := pool.setOwn(key, timedSlots{int64(i % 6), now.Add(time.Hour)}, timedSlots{}, now)
		// Use that exceeds lowered allowances can only fall until they rise again.
		if n := a.inUse.Load(); over == 0 && n > int64(i%6)+8 {
			t.Fatalf("%d slots in use of %d", n, i%6)
		}
	}
	close(stop)
	workers.Wait()
	if n := a.inUse.Load(); n != 0 {
		t.Errorf("%d slots in use at the end", n)
	}
}

// simulateGrants runs a grantor and two grantees with changing demand over a slow network that loses responses. It
// returns the maximum number of slots usable by the three VMs at once, and the maximum number in use.
func simulateGrants(t *testing.T, seed uint64, g GrantorOptions, b GranteeOptions) (maxUsable, maxInUse int) {
	synctest.Test(t, func(t *testing.T) {
		const slots = 20
		random := rand.New(rand.NewPCG(seed, 3))
		wanted := rand.New(rand.NewPCG(seed, 4))
		var mu sync.Mutex
		var cut atomic.Bool // no request reaches the grantor
		ctx, cancel := context.WithCancel(t.Context())
		var runs sync.WaitGroup
		pools := []*SlotPool{NewSlotPool(SlotPoolOptions{Self: "e1", Zone: home})}
		grantor := newGrantor(pools[0], slots, g)
		runs.Go(func() { grantor.Run(ctx) })
		wait := func(ctx context.Context) error {
			mu.Lock()
			d, lost := time.Duration(random.IntN(900))*time.Millisecond, random.IntN(10) == 0
			mu.Unlock()
			time.Sleep(d)
			if lost || ctx.Err() != nil {
				return errLost
			}
			return nil
		}
		for _, name := range []vm.Name{"e2", "e3"} {
			pool := NewSlotPool(SlotPoolOptions{Self: name, Incarnation: 1})
			opt := b
			opt.Pool = pool
			opt.RequestGrant = func(ctx context.Context, _ steering.ZoneName, req *peer.AskGrantRequest) (*peer.AskGrantReply, error) {
				if cut.Load() {
					return nil, errLost
				}
				reply, _ := grantor.AskGrant(ctx, req)
				return reply, wait(ctx)
			}
			opt.ReturnGrant = func(ctx context.Context, _ steering.ZoneName, req *peer.ReturnGrantRequest) (*peer.ReturnGrantReply, error) {
				reply, _ := grantor.ReturnGrant(ctx, req)
				return reply, wait(ctx)
			}
			grantee := NewGrantee(opt)
			runs.Go(func() { grantee.Run(ctx) })
			pools = append(pools, pool)
		}
		permits := make([][]Permit, len(pools))
		wants := make([]int, len(pools))
		for i := range 2400 {
			time.Sleep(50 * time.Millisecond)
			cut.Store(i%400 >= 200)
			sum, used := 0, 0
			for k, pool := range pools {
				if i%200 == 0 {
					wants[k] = wanted.IntN(25)
				}
				sum += pool.Usable(service, home, time.Now())
				permits[k] = adjustUse(pool, permits[k], wants[k])
				used += len(permits[k])
			}
			maxUsable, maxInUse = max(maxUsable, sum), max(maxInUse, used)
		}
		cancel()
		runs.Wait()
	})
	return maxUsable, maxInUse
}

func adjustUse(pool *SlotPool, permits []Permit, want int) []Permit {
	for len(permits) < want {
		p, err := pool.Acquire(service, home, time.Now())
		if err != nil {
			break
		}
		permits = append(permits, p)
	}
	for len(permits) > want {
		pool.Release(permits[len(permits)-1])
		permits = permits[:len(permits)-1]
	}
	return permits
}

func TestGrantsStayWithinCapacity(t *testing.T) {
	for seed := range uint64(30) {
		if maxUsable, maxInUse := simulateGrants(t, seed, GrantorOptions{}, GranteeOptions{}); maxUsable > 20 || maxInUse < 19 {
			t.Errorf("seed %d: up to %d of 20 slots usable, at most %d in use; want at most 20 and at least 19", seed, maxUsable, maxInUse)
		}
	}
}

func TestSimulationDetectsDefects(t *testing.T) {
	lateExpiry, doubleUse := 0, 0
	for seed := range uint64(10) {
		if most, _ := simulateGrants(t, seed, GrantorOptions{}, GranteeOptions{ttlFromResponse: true}); most > 20 {
			lateExpiry++
		}
		if most, _ := simulateGrants(t, seed, GrantorOptions{ignoreReserved: true}, GranteeOptions{}); most > 20 {
			doubleUse++
		}
	}
	t.Logf("of 10 seeds, TTL counted from the response detected in %d, granted slots used by the grantor detected in %d", lateExpiry, doubleUse)
	if lateExpiry == 0 || doubleUse == 0 {
		t.Error("a defect was not detected")
	}
}

func BenchmarkAcquireRelease(b *testing.B) {
	pool := NewSlotPool(SlotPoolOptions{Self: "e1"})
	pool.setOwn(Key{service, home}, timedSlots{1000, time.Now().Add(time.Hour)}, timedSlots{}, time.Now())
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		now := time.Now()
		for pb.Next() {
			if p, err := pool.Acquire(service, home, now); err == nil {
				pool.Release(p)
			}
		}
	})
}

// TestShortGrantIsRenewedBeforeItExpires guards against grants that expire between two renewals: a leader that cannot
// renew its lease because the store is down gives grants with a TTL little above the usual renewal interval.
func TestShortGrantIsRenewedBeforeItExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const ttl = 2100 * time.Millisecond
		const delay = 150 * time.Millisecond // of a call
		pool := NewSlotPool(SlotPoolOptions{Self: "e2"})
		granted := uint64(0)
		unnamed := 0
		requestGrant := func(_ context.Context, _ steering.ZoneName, req *peer.AskGrantRequest) (*peer.AskGrantReply, error) {
			if granted > 0 && req.GrantId == 0 {
				unnamed++
			}
			time.Sleep(delay)
			granted++
			return &peer.AskGrantReply{GrantId: granted, Slots: 2, TtlMs: uint32(ttl.Milliseconds())}, nil
		}
		grantee := NewGrantee(GranteeOptions{Pool: pool, RequestGrant: requestGrant, Seed: 1})
		ctx, cancel := context.WithCancel(t.Context())
		pool.AddWaiting(service, home, 2)
		go grantee.Run(ctx)
		time.Sleep(time.Second)
		if _, err := pool.Acquire(service, home, time.Now()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		cancel()
		synctest.Wait()
		if unnamed > 0 {
			t.Errorf("%d of %d renewals named no grant although a request was in flight", unnamed, granted)
		}
	})
}
