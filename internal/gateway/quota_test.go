package gateway

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/azureflow/azureflow/internal/kv"
	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/pipenet"
	"github.com/azureflow/azureflow/internal/quota"
	"github.com/azureflow/azureflow/internal/routing"
)

// testAccount has a rate of 40 requests a second over all entry VMs.
var testAccount = &routing.Account{Name: "desk", Rate: 40, Burst: 40}

var testQuotaBounds = quota.Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// quotaFleet is a set of entry VMs that share the quotas of accounts over pipes.
type quotaFleet struct {
	store *fakeStore
	table *routing.Table

	mu    sync.Mutex
	vms   map[string]*quotaVM // by peer address
	dials int
	down  map[string]bool // addresses that cannot be reached
	spent []time.Time
	lost  int // requests that were refused
}

type quotaVM struct {
	link     *storeLink
	presence *presence
	sharing  *sharing
	quotas   *quotas
	stop     context.CancelFunc
}

// withQuotaFleet runs test with four entry VMs that are listed and, if accounts have limits, have joined.
func withQuotaFleet(t *testing.T, test func(t *testing.T, fl *quotaFleet), accounts ...routing.Account) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); time.Sleep(time.Minute); synctest.Wait() }()
		fl := &quotaFleet{
			store: newFakeStore(), vms: make(map[string]*quotaVM), down: make(map[string]bool),
			table: routing.NewTable(&routing.Config{Version: 1, Accounts: accounts}),
		}
		for i := range 4 {
			fl.start(ctx, t, fmt.Sprintf("vm-%d", i))
		}
		time.Sleep(5 * time.Second)
		test(t, fl)
	})
}

func (fl *quotaFleet) start(ctx context.Context, t *testing.T, name string) {
	link := &storeLink{fakeStore: fl.store}
	s := testSettings(name)
	s.Listen.Peer = name
	s.Bounds.Quota = testQuotaBounds
	f := newTestFollower(t, link, name)
	f.table.Store(fl.table)
	p := newPresence(link, s, f.chooser, f.log)
	pool := peer.NewPool(fl.dial)
	registry := prometheus.NewRegistry()
	vm := &quotaVM{link: link, presence: p, sharing: newSharing(f, p, s, f.log, pool, NewMetrics(registry))}
	vm.quotas = newQuotas(p, pool, f, s, newQuotaMetrics(registry), f.log)
	vm.sharing.quotaHome = vm.quotas.home
	vm.quotas.useIfLimited(fl.table)
	ctx, vm.stop = context.WithCancel(ctx)
	fl.mu.Lock()
	fl.vms[name] = vm
	fl.mu.Unlock()
	go p.pollList(ctx, func(ctx context.Context) bool { return ctx.Err() == nil })
	go vm.quotas.serve(ctx)
	go p.keepListed(ctx)
}

func (fl *quotaFleet) dial(ctx context.Context, address string) (net.Conn, error) {
	fl.mu.Lock()
	fl.dials++
	down, vm := fl.down[address], fl.vms[address]
	fl.mu.Unlock()
	if down {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	l := pipenet.Listen(pipenet.Addr(address))
	go vm.sharing.servePeers(ctx, l)
	return l.Dial(ctx)
}

// request takes a permission at a VM and uses it.
func (fl *quotaFleet) request(ctx context.Context, vm *quotaVM) {
	_, ok, _ := vm.quotas.Take(ctx, testAccount)
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if !ok {
		fl.lost++
		return
	}
	fl.spent = append(fl.spent, time.Now())
}

// send sends requests evenly over the VMs called names, perSecond in all, for span, and waits until they have ended.
func (fl *quotaFleet) send(ctx context.Context, perSecond int, span time.Duration, names ...string) {
	var requests sync.WaitGroup
	for i := range int(span.Seconds() * float64(perSecond)) {
		requests.Go(func() { fl.request(ctx, fl.vms[names[i%len(names)]]) })
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	requests.Wait()
}

// checkBound fails the test if more requests than allowed were let in within a window.
func (fl *quotaFleet) checkBound(t *testing.T) {
	t.Helper()
	most := (testAccount.Rate*testQuotaBounds.Window.Seconds()+testAccount.Burst)*(1+testQuotaBounds.Overage) + testQuotaBounds.Slack
	slices.SortFunc(fl.spent, time.Time.Compare)
	first := 0
	for i, at := range fl.spent {
		for fl.spent[first].Before(at.Add(-testQuotaBounds.Window)) {
			first++
		}
		if n := i - first + 1; float64(n) > most {
			t.Fatalf("%d requests were let in within %v, want at most %.0f", n, testQuotaBounds.Window, most)
		}
	}
}

// homes returns the homes of testAccount's shards.
func (fl *quotaFleet) homes() []string {
	homes, _ := fl.vms["vm-0"].quotas.home.homesOf(testAccount.Name)
	return homes[:]
}

var allVMs = []string{"vm-0", "vm-1", "vm-2", "vm-3"}

func TestQuotaHoldsOverAllEntryVMs(t *testing.T) {
	withQuotaFleet(t, func(t *testing.T, fl *quotaFleet) {
		const span = 20 * time.Second
		fl.send(t.Context(), 280, span, allVMs...) // seven times the rate
		fl.checkBound(t)
		if got, want := len(fl.spent), int(span.Seconds()*testAccount.Rate*0.95); got < want {
			t.Errorf("%d requests were let in in %v, want at least %d", got, span, want)
		}
	}, *testAccount)
}

func TestRequestsWithinTheQuotaAreNotRefused(t *testing.T) {
	for _, names := range [][]string{{"vm-0"}, {"vm-3"}, allVMs} {
		withQuotaFleet(t, func(t *testing.T, fl *quotaFleet) {
			fl.send(t.Context(), 36, 20*time.Second, names...)
			if fl.lost > 0 {
				t.Errorf("at %v: %d of %d requests within the quota were refused", names, fl.lost, fl.lost+len(fl.spent))
			}
		}, *testAccount)
	}
}

// A home is lost: until the store's list says so the other homes serve its part of the demand.
func TestLossOfAHomeOfQuotas(t *testing.T) {
	withQuotaFleet(t, func(t *testing.T, fl *quotaFleet) {
		lost := fl.homes()[0]
		names := slices.DeleteFunc(slices.Clone(allVMs), func(name string) bool { return name == lost })
		fl.mu.Lock()
		fl.down[lost] = true
		fl.vms[lost].stop()
		fl.mu.Unlock()
		_ = fl.vms[names[0]].quotas.home.pool.Close()
		time.AfterFunc(presenceTTL, func() { fl.store.remove(presencePrefix + lost) })
		fl.send(t.Context(), 24, 20*time.Second, names...)
		fl.checkBound(t)
		if all := fl.lost + len(fl.spent); fl.lost > all/100 {
			t.Errorf("%d of %d requests within the quota were refused", fl.lost, all)
		}
		if slices.Contains(fl.homes(), lost) {
			t.Errorf("the lost VM is still a home")
		}
	}, *testAccount)
}

// A home that cannot renew its lease stops before others take its shards over, and joins once it is listed again.
func TestHomeWithoutALeaseGrantsNothing(t *testing.T) {
	withQuotaFleet(t, func(t *testing.T, fl *quotaFleet) {
		name := fl.homes()[0]
		home := fl.vms[name]
		ask := func() time.Duration {
			_, life := home.quotas.home.grant(quota.Shard{Account: testAccount.Name}, "asker", 1)
			return life
		}
		if ask() == 0 {
			t.Fatal("the home grants nothing")
		}
		if _, life := home.quotas.home.grant(quota.Shard{Account: testAccount.Name, Index: quota.Shards}, "asker", 1); life > 0 {
			t.Error("tokens of a shard that does not exist were granted")
		}
		home.link.isCut.Store(true)
		time.Sleep(presenceTTL)
		if ask() > 0 {
			t.Error("the home grants tokens after its lease may have lapsed")
		}
		home.link.isCut.Store(false)
		time.Sleep(3 * time.Second)
		if ask() == 0 {
			t.Error("the home grants nothing with a valid lease")
		}
		home.presence.setLeaving()
		if ask() > 0 {
			t.Error("a VM that stops grants tokens, though its place in the list is given up")
		}
	}, *testAccount)
}

// A process that is started again while it is still listed is a home again at once, without the tokens of the one before.
func TestRestartedHomeJoinsAtOnce(t *testing.T) {
	withQuotaFleet(t, func(t *testing.T, fl *quotaFleet) {
		time.Sleep(time.Minute)
		name := fl.homes()[0]
		fl.mu.Lock()
		fl.vms[name].stop()
		fl.mu.Unlock()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		fl.start(ctx, t, name)
		time.Sleep(time.Second)
		granted, life := fl.vms[name].quotas.home.grant(quota.Shard{Account: testAccount.Name}, "asker", 1000)
		if most := int(testAccount.Rate); life == 0 || granted > most {
			t.Errorf("%d tokens were granted a second after the start, life %v, want at most %d", granted, life, most)
		}
		fl.send(ctx, 24, 10*time.Second, allVMs...)
		fl.checkBound(t)
		if fl.lost > 0 {
			t.Errorf("%d of %d requests within the quota were refused", fl.lost, fl.lost+len(fl.spent))
		}
	}, *testAccount)
}

// The entry of a home was lost and written again: others may have taken its shards over.
func TestHomeThatIsListedAgainStartsWithoutTokens(t *testing.T) {
	withQuotaFleet(t, func(t *testing.T, fl *quotaFleet) {
		home := fl.vms[fl.homes()[0]].quotas.home
		time.Sleep(time.Minute)
		home.presence.recordListing(kv.Version(1000), time.Now(), presenceTTL)
		time.Sleep(time.Second)
		granted, life := home.grant(quota.Shard{Account: testAccount.Name}, "asker", 1000)
		if most := int(testAccount.Rate); life == 0 || granted > most {
			t.Errorf("%d tokens were granted a second after the home was listed again, life %v, want at most %d", granted, life, most)
		}
	}, *testAccount)
}

// Deployments without limits on client accounts make no call for them.
func TestQuotasAreOffWithoutLimits(t *testing.T) {
	withQuotaFleet(t, func(t *testing.T, fl *quotaFleet) {
		for _, name := range allVMs {
			vm := fl.vms[name]
			if _, ok, _ := vm.quotas.Take(t.Context(), &routing.Account{Name: "open"}); !ok {
				t.Error("a request of an account without a limit was refused")
			}
			if vm.quotas.home.role.HasJoined() {
				t.Errorf("%s joined the homes of quotas", name)
			}
		}
		if fl.dials > 0 {
			t.Errorf("%d connections to peers were opened, want none", fl.dials)
		}
	}, routing.Account{Name: "open"})
}

// Requests wait while homes cannot be reached, and are then refused.
func TestRequestWithoutReachableHomesIsRefused(t *testing.T) {
	withQuotaFleet(t, func(t *testing.T, fl *quotaFleet) {
		name := allVMs[slices.IndexFunc(allVMs, func(name string) bool { return !slices.Contains(fl.homes(), name) })]
		fl.mu.Lock()
		for _, home := range fl.homes() {
			fl.down[home] = true
		}
		fl.mu.Unlock()
		_ = fl.vms[name].quotas.home.pool.Close()
		startedAt := time.Now()
		_, ok, retryAfter := fl.vms[name].quotas.Take(t.Context(), testAccount)
		if ok || retryAfter < partialRetryAfter || time.Since(startedAt) != quotaWaitLimit {
			t.Errorf("ok=%v retryAfter=%v after %v", ok, retryAfter, time.Since(startedAt))
		}
	}, *testAccount)
}

// A VM that stops while it joins ends its loop.
func TestStopDuringAJoin(t *testing.T) {
	withQuotaFleet(t, func(t *testing.T, fl *quotaFleet) {
		home := fl.vms["vm-0"].quotas.home
		fl.vms["vm-0"].link.isCut.Store(true)
		home.presence.recordListing(1000, time.Now(), presenceTTL)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { defer close(ended); home.run(ctx) }()
		time.Sleep(time.Second)
		cancel()
		select {
		case <-ended:
		case <-time.After(time.Second):
			t.Error("the loop runs a second after its end")
		}
	}, *testAccount)
}
