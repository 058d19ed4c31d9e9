package steering_test

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/azureflow/azureflow/internal/kv"
	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/refplatform/refplatformtest"
	"github.com/azureflow/azureflow/internal/steering"
)

const (
	changesADay   = 14_000
	changePeriod  = 24 * time.Hour / changesADay
	takeUpZones   = 8
	takeUpPerZone = 4 // entry VMs, one of them follows the store
)

// takeUpChanges is the number of changes whose propagation to the VMs is measured.
var takeUpChanges = flag.Int("take-up-changes", 40, "changes measured by TestTakeUpAt14000ChangesADay")

// meteredStore counts the bytes of the values that a client reads.
type meteredStore struct {
	kv.Store
	bytes atomic.Int64
}

func (m *meteredStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	e, err := m.Store.Get(ctx, key)
	m.bytes.Add(int64(len(e.Value)))
	return e, err
}

func (m *meteredStore) List(ctx context.Context, prefix string) ([]kv.Entry, kv.Version, error) {
	entries, v, err := m.Store.List(ctx, prefix)
	for _, e := range entries {
		m.bytes.Add(int64(len(e.Value)))
	}
	return entries, v, err
}

func (m *meteredStore) Watch(ctx context.Context, prefix string, after kv.Version) ([]kv.Entry, kv.Version, error) {
	entries, v, err := m.Store.Watch(ctx, prefix, after)
	for _, e := range entries {
		m.bytes.Add(int64(len(e.Value)))
	}
	return entries, v, err
}

// fleet is entry VMs in zones; the first of each zone follows the store.
type fleet struct {
	store     *refplatformtest.Store
	leaders   []*refplatformtest.Client
	metered   []*meteredStore
	followers []*steering.Follower
	peerBytes atomic.Int64

	mu         sync.Mutex
	takeUp     *hdrhistogram.Histogram // milliseconds
	appliedVMs map[steering.Revision]int
}

// newFleet returns VMs that query the leader of their zone and the leader of the next zone.
func newFleet(store *refplatformtest.Store) *fleet {
	fl := &fleet{store: store, takeUp: hdrhistogram.New(1, 3_600_000, 3), appliedVMs: make(map[steering.Revision]int)}
	for i := range takeUpZones * takeUpPerZone {
		o := steering.FollowerOptions{
			OnRevision: fl.recordRevision,
			FetchFromPeers: func(ctx context.Context, above steering.Revision) ([]byte, steering.Revision, error) {
				return fl.queryPeers(ctx, i, above)
			},
		}
		client := store.NewClient(fmt.Sprint("vm-", i))
		metered := &meteredStore{Store: client}
		o.Store = metered
		if i%takeUpPerZone != 0 {
			o.WatchStore = func() bool { return false }
		} else {
			fl.leaders = append(fl.leaders, client)
			fl.metered = append(fl.metered, metered)
		}
		fl.followers = append(fl.followers, steering.NewFollower(o))
	}
	return fl
}

func (fl *fleet) recordRevision(c *steering.Configuration) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.appliedVMs[c.Revision]++
	if c.Revision > 1 {
		_ = fl.takeUp.RecordValue(max(1, time.Since(c.PublishedAt).Milliseconds()))
	}
}

func (fl *fleet) queryPeers(ctx context.Context, i int, above steering.Revision) ([]byte, steering.Revision, error) {
	leader := i / takeUpPerZone * takeUpPerZone
	next := (leader + takeUpPerZone) % len(fl.followers)
	var best *peer.FetchRevisionReply
	for _, j := range []int{leader, next} {
		time.Sleep(time.Millisecond)
		reply, err := fl.followers[j].FetchRevision(ctx, &peer.FetchRevisionRequest{Above: uint64(above)})
		if err != nil {
			return nil, 0, err
		}
		fl.peerBytes.Add(int64(len(reply.GetConfiguration())))
		if best == nil || reply.GetRevision() > best.GetRevision() {
			best = reply
		}
	}
	return best.GetConfiguration(), steering.Revision(best.GetRevision()), nil
}

// heartbeat reports to each VM once a second the revisions of the leaders of its zone and of the next zone.
func (fl *fleet) heartbeat(ctx context.Context) {
	for i, f := range fl.followers {
		go func() {
			leader := i / takeUpPerZone * takeUpPerZone
			for ctx.Err() == nil {
				time.Sleep(time.Second)
				f.OnPeerRevision(fl.followers[leader].Revision())
				f.OnPeerRevision(fl.followers[(leader+takeUpPerZone)%len(fl.followers)].Revision())
			}
		}()
	}
}

func TestTakeUpAt14000ChangesADay(t *testing.T) {
	cases := []struct {
		name   string
		faults func(*fleet)
	}{
		{"no fault", func(*fleet) {}},
		{"store slow by 300 ms", func(fl *fleet) { fl.store.SetStoreFaults(refplatformtest.Faults{Delay: 300 * time.Millisecond}) }},
		{"watches silent", func(fl *fleet) { fl.store.SetStoreFaults(refplatformtest.Faults{WatchSilent: true}) }},
		{"zones 0 and 1 cut off from the store", func(fl *fleet) {
			fl.leaders[0].SetFaults(refplatformtest.Faults{Down: true})
			fl.leaders[1].SetFaults(refplatformtest.Faults{Down: true})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			trees := []*steering.Tree{alpha(t, 2), alpha(t, 3)}
			synctest.Test(t, func(t *testing.T) { takeUp(t, c.faults, trees, *takeUpChanges) })
		})
	}
}

func takeUp(t *testing.T, faults func(*fleet), trees []*steering.Tree, changes int) {
	store := refplatformtest.NewStore(refplatformtest.StoreOptions{})
	publishBase(t, store.Client)
	fl := newFleet(store)
	ctx, cancel := context.WithCancel(t.Context())
	stop := run(t, fl.followers...)
	fl.heartbeat(ctx)
	time.Sleep(takeUpLimit)
	faults(fl)
	time.Sleep(takeUpLimit)
	calls, start := fl.leaders[2].Counts().Total(), time.Now()
	fl.metered[2].bytes.Store(0)
	fl.peerBytes.Store(0)
	for i := range changes {
		time.Sleep(changePeriod)
		mustPublish(t, newPublisher(store.NewClient("publisher")), trees[i%2])
	}
	time.Sleep(takeUpLimit)
	elapsed := time.Since(start)
	calls = fl.leaders[2].Counts().Total() - calls
	cancel()
	stop()
	time.Sleep(2 * time.Second) // for the heartbeats to end
	for _, f := range fl.followers {
		if f.Revision() != steering.Revision(changes+1) {
			t.Errorf("revision %d, want %d", f.Revision(), changes+1)
		}
	}
	h := fl.takeUp
	t.Logf("take-up over %d VMs: p50 %d ms, p99 %d ms, max %d ms", len(fl.followers), h.ValueAtPercentile(50), h.ValueAtPercentile(99), h.Max())
	t.Logf("a leader: %.0f store calls a minute, %.0f bytes a second from the store; a VM: %.0f bytes a second from peers",
		float64(calls)/elapsed.Minutes(), float64(fl.metered[2].bytes.Load())/elapsed.Seconds(),
		float64(fl.peerBytes.Load())/elapsed.Seconds()/float64(len(fl.followers)))
	if limit := takeUpLimit.Milliseconds(); h.Max() > limit {
		t.Errorf("a revision took %d ms, limit %d ms", h.Max(), limit)
	}
	for r := steering.Revision(2); r <= steering.Revision(changes+1); r++ {
		if fl.appliedVMs[r] != len(fl.followers) {
			t.Logf("revision %d was applied by %d VMs; the others skipped it", r, fl.appliedVMs[r])
		}
	}
}
