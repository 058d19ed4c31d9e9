package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azureflow/azureflow/internal/admission"
	"github.com/azureflow/azureflow/internal/routing"
)

// Too little room: requests of kinds, and of client accounts, that differ in urgency and demand. Each load is replayed
// in the order of arrival, as where the configuration does not distinguish callers, and with ordered admission.

// simGate is the admission of an entry VM in the simulation, as internal/forward does it.
type simGate struct {
	s       *simulation
	queue   *admission.Queue
	waiting map[*admission.Ticket]*simRequest
}

func (s *simulation) useGates() {
	for range s.regions {
		s.gates = append(s.gates, &simGate{s: s, queue: admission.NewQueue(), waiting: make(map[*admission.Ticket]*simRequest)})
	}
}

func (g *simGate) enter(r *simRequest) {
	t := &admission.Ticket{
		Priority: r.query.Account.PriorityOn(r.query.Route), Account: r.query.Account, Target: simTarget, Returned: r.returned,
	}
	g.queue.RecordArrival(t, g.s.now)
	if g.queue.Waiting() > 0 {
		g.offerRoom()
	}
	refusal := g.tryPlace(t, r)
	switch {
	case refusal == nil:
		g.queue.RecordSent(t, g.s.now)
		return
	case !refusal.IsForRoom():
		g.s.refuse(r, refusal.RetryAfter)
		return
	}
	g.waiting[t] = r
	if displaced := g.queue.Add(t, g.s.now); displaced != nil {
		g.refuse(displaced)
	}
	g.s.at(t.HoldUntil(g.s.now, r.arrived.Add(g.s.route.Timeout)), func() {
		if g.queue.Remove(t, g.s.now) {
			g.refuse(t)
		}
	})
}

// tryPlace sends the request, or returns why it cannot be sent.
func (g *simGate) tryPlace(t *admission.Ticket, r *simRequest) *Refusal {
	bounds := WaitBounds(g.queue.WaitBounds(t, g.s.now))
	r.query.WaitBounds = &bounds
	p, refusal := g.s.place(r)
	r.query.FirstAttempt = false
	if refusal != nil {
		t.Work, t.Wait, t.InTime = refusal.Work(), refusal.Wait, refusal.Work() <= r.query.TargetLeft
		return refusal
	}
	t.Work = p.ExpectedLatency - p.Wait
	g.s.send(r, p)
	return nil
}

func (g *simGate) refuse(t *admission.Ticket) {
	r := g.waiting[t]
	delete(g.waiting, t)
	elapsed := g.s.now.Sub(r.arrived)
	g.s.refuse(r, g.queue.RetryAfter(t, simTarget-elapsed, g.s.route.Timeout-elapsed, g.s.now))
}

func (g *simGate) recordEnded() {
	g.queue.RecordEnded(g.s.now)
	g.offerRoom()
}

func (g *simGate) offerRoom() {
	g.queue.TryNext(2, g.s.now, func(t *admission.Ticket) (done, sent bool) {
		r, work := g.waiting[t], t.Work
		refusal := g.tryPlace(t, r)
		t.Work = work
		if refusal != nil && refusal.IsForRoom() {
			return false, false
		}
		delete(g.waiting, t)
		if refusal != nil {
			g.s.refuse(r, refusal.RetryAfter)
		}
		return true, refusal == nil
	})
}

// credit returns the share of the requests that were served, a late response counting a fifth as in the users' tables.
func (c *simCount) credit() float64 {
	return (float64(c.onTime) + 0.2*float64(c.late)) / float64(max(c.requests, 1))
}

// servedShare returns the share of the requests that got a response.
func (c *simCount) servedShare() float64 {
	return float64(c.onTime+c.late) / float64(max(c.requests, 1))
}

// kindLoad generates requests of a kind for callers of all regions.
type kindLoad struct {
	name    string
	route   *routing.Route
	account *routing.Account
	rate    func(time.Duration) float64 // requests per second in each region
}

// runOverload replays loads at the servers of two regions with two entry VMs each, over three seeds, and returns the
// counts by kind, and of all.
func runOverload(ordered bool, span time.Duration, prepare func(*simulation), loads ...kindLoad) (map[string]*simCount, simCount) {
	kinds := make(map[string]*simCount)
	var all simCount
	for seed := range uint64(3) {
		s := newSimulation(seed, 4, 4)
		s.callersStay = true
		prepare(s)
		s.useChoosers()
		if ordered {
			s.useGates()
		}
		for i := range 2 {
			for _, l := range loads {
				s.loadKind(i, span, l)
			}
		}
		s.run()
		for name, c := range s.kinds {
			if kinds[name] == nil {
				kinds[name] = &simCount{}
			}
			kinds[name].add(c)
			all.add(c)
		}
	}
	return kinds, all
}

func (c *simCount) add(o *simCount) {
	c.requests += o.requests
	c.onTime += o.onTime
	c.late += o.late
	c.refused += o.refused
}

// loadKind is like load for the requests of a kind.
func (s *simulation) loadKind(i int, span time.Duration, l kindLoad) {
	start, region := s.now, simRegion(i)
	var next func()
	next = func() {
		elapsed := s.now.Sub(start)
		if elapsed >= span {
			return
		}
		const objects = 60 // of the callers of a region
		s.startRequestOf(&simRequest{home: region, entry: 2*i + s.rng.IntN(2), arrived: s.now, kind: l.name, query: Query{
			Route: l.route, Account: l.account, Service: "desk", FirstAttempt: true,
			Object: xxhash.Sum64String(fmt.Sprintf("%s %d", region, s.rng.IntN(objects))),
		}})
		gap := s.rng.ExpFloat64() / max(l.rate(elapsed), 0.1)
		s.at(s.now.Add(time.Duration(gap*float64(time.Second))), next)
	}
	s.at(start, next)
}

// kindRoute returns a route of a priority.
func kindRoute(name string, priority int) *routing.Route {
	return &routing.Route{
		Name: name, Affinity: true, TargetLatency: simTarget, Timeout: 2500 * time.Millisecond, MaxAttempts: 2, Priority: priority,
		Destinations: []routing.Destination{{Service: "desk", Weight: 1}},
	}
}

func noChange(*simulation) {}

const overloadSpan = 10 * time.Second

// overloadRate is what the servers of a region handle with all objects warm: 4 servers with 6 slots, 120 ms each.
const overloadRate = 200

// Two kinds of request of the same size at 1.2 to 3 times what the servers can handle.
func TestOverloadOfTwoKinds(t *testing.T) {
	for _, x := range []float64{1.2, 1.5, 2, 3} {
		half := steady(x * overloadRate / 2)
		loads := []kindLoad{{"urgent", kindRoute("urgent", 0), nil, half}, {"other", kindRoute("other", 1), nil, half}}
		before, beforeAll := runOverload(false, overloadSpan, noChange, loads...)
		after, all := runOverload(true, overloadSpan, noChange, loads...)
		t.Logf("%.1f: credit %.3f, ordered %.3f; urgent %.3f, %.3f; other %.3f, %.3f; served %.3f, %.3f", x, beforeAll.credit(), all.credit(),
			before["urgent"].credit(), after["urgent"].credit(), before["other"].credit(), after["other"].credit(),
			beforeAll.servedShare(), all.servedShare())
		if all.credit() < beforeAll.credit() || after["urgent"].credit() < before["urgent"].credit() {
			t.Errorf("%.1f: ordered admission serves callers worse", x)
		}
		if after["urgent"].credit() < after["other"].credit() {
			t.Errorf("%.1f: the urgent kind is served worse than the other", x)
		}
		// The required bound on a kind that is starved.
		if after["other"].servedShare() < all.servedShare()/4 {
			t.Errorf("%.1f: the other kind is served less than a quarter as often as all", x)
		}
	}
}

// The urgent kind alone has twice the room: the other one is not starved by it. The required bound is a quarter of the
// share of all requests that are served.
func TestUrgentKindDoesNotStarveTheOther(t *testing.T) {
	loads := []kindLoad{
		{"urgent", kindRoute("urgent", 0), nil, steady(2 * overloadRate)}, {"other", kindRoute("other", 1), nil, steady(0.3 * overloadRate)},
	}
	before, beforeAll := runOverload(false, overloadSpan, noChange, loads...)
	after, all := runOverload(true, overloadSpan, noChange, loads...)
	t.Logf("served %.3f, ordered %.3f; urgent %.3f, %.3f; other %.3f, %.3f", beforeAll.servedShare(), all.servedShare(),
		before["urgent"].servedShare(), after["urgent"].servedShare(), before["other"].servedShare(), after["other"].servedShare())
	if after["other"].servedShare() < all.servedShare()/4 {
		t.Error("the other kind is starved")
	}
	if all.credit() < beforeAll.credit() {
		t.Error("ordered admission serves callers worse")
	}
}

// The less urgent kind comes in a burst of four times its rate: it pays for it, not the urgent kind.
func TestBurstOfTheLessUrgentKind(t *testing.T) {
	burst := func(at time.Duration) float64 {
		if at > 3*time.Second && at < 7*time.Second {
			return 400
		}
		return 100
	}
	loads := []kindLoad{{"urgent", kindRoute("urgent", 0), nil, steady(60)}, {"other", kindRoute("other", 1), nil, burst}}
	before, beforeAll := runOverload(false, overloadSpan, noChange, loads...)
	after, all := runOverload(true, overloadSpan, noChange, loads...)
	t.Logf("credit %.3f, ordered %.3f; urgent %.3f, %.3f; other %.3f, %.3f", beforeAll.credit(), all.credit(),
		before["urgent"].credit(), after["urgent"].credit(), before["other"].credit(), after["other"].credit())
	if all.credit() < beforeAll.credit() || after["urgent"].credit() < 0.8 {
		t.Error("the burst costs the urgent kind")
	}
}

// One of five accounts sends six times its quota: the others keep what they had, and it gets about its part.
func TestFloodOfOneAccount(t *testing.T) {
	const accounts, quota = 5, 36
	var loads []kindLoad
	route := kindRoute("lookup", 0)
	for i := range accounts {
		name, rate := fmt.Sprint(i), float64(quota)
		if i == 0 {
			name, rate = "flood", 6*quota
		}
		loads = append(loads, kindLoad{name, route, &routing.Account{Name: routing.AccountName(name), Rate: quota}, steady(rate)})
	}
	before, _ := runOverload(false, overloadSpan, noChange, loads...)
	after, _ := runOverload(true, overloadSpan, noChange, loads...)
	worst, served := 1.0, 0.0
	for i := 1; i < accounts; i++ {
		name := fmt.Sprint(i)
		t.Logf("%s: credit %.3f, ordered %.3f", name, before[name].credit(), after[name].credit())
		worst, served = min(worst, after[name].credit()), served+after[name].servedShare()/(accounts-1)
		if after[name].credit() < before[name].credit() {
			t.Errorf("account %s, inside its quota, is served worse", name)
		}
	}
	t.Logf("flood: credit %.3f, ordered %.3f", before["flood"].credit(), after["flood"].credit())
	if after["flood"].credit() > worst {
		t.Error("the flooding account is served better than one inside its quota")
	}
	if 6*after["flood"].servedShare() < served/4 {
		t.Error("the flooding account gets less than a quarter of what the others get of their quotas")
	}
}

// Servers of different speed, and fewer in one region than in the other.
func TestOverloadOfUnevenServers(t *testing.T) {
	uneven := func(s *simulation) {
		for i, slowness := range []float64{1, 2, 0.7, 3} {
			s.servers[ServerID(fmt.Sprintf("r0-%d", i))].slowness = slowness
		}
		delete(s.servers, "r1-2")
		delete(s.servers, "r1-3")
	}
	half := steady(overloadRate / 2)
	loads := []kindLoad{{"urgent", kindRoute("urgent", 0), nil, half}, {"other", kindRoute("other", 1), nil, half}}
	before, beforeAll := runOverload(false, overloadSpan, uneven, loads...)
	after, all := runOverload(true, overloadSpan, uneven, loads...)
	t.Logf("credit %.3f, ordered %.3f; urgent %.3f, %.3f; other %.3f, %.3f", beforeAll.credit(), all.credit(),
		before["urgent"].credit(), after["urgent"].credit(), before["other"].credit(), after["other"].credit())
	if all.credit() < beforeAll.credit() || after["urgent"].credit() < before["urgent"].credit() {
		t.Error("ordered admission serves callers worse")
	}
}

// Half of the servers of a region are lost under load, and are no longer listed two seconds later: what waited is
// placed elsewhere or refused, and nothing is left waiting.
func TestServersLostWhileRequestsWait(t *testing.T) {
	lose := func(s *simulation) {
		s.at(s.now.Add(4*time.Second), func() {
			s.servers["r0-0"].dead, s.servers["r0-1"].dead = true, true
		})
		s.at(s.now.Add(6*time.Second), func() {
			for _, p := range s.policies {
				p.(*Chooser).SetMembership(s.membership())
			}
		})
	}
	half := steady(overloadRate / 2)
	loads := []kindLoad{{"urgent", kindRoute("urgent", 0), nil, half}, {"other", kindRoute("other", 1), nil, half}}
	before, beforeAll := runOverload(false, overloadSpan, lose, loads...)
	after, all := runOverload(true, overloadSpan, lose, loads...)
	t.Logf("credit %.3f, ordered %.3f; urgent %.3f, %.3f", beforeAll.credit(), all.credit(), before["urgent"].credit(), after["urgent"].credit())
	if all.credit() < beforeAll.credit() || after["urgent"].credit() < before["urgent"].credit() {
		t.Error("ordered admission serves callers worse")
	}
	if ended := all.onTime + all.late + all.refused; ended != all.requests {
		t.Errorf("%d of %d requests ended", ended, all.requests)
	}
}
