package placement

import (
	"math/rand/v2"
	"time"

	"github.com/azureflow/azureflow/internal/steering"
)

// baseline is a simple policy to compare with: it uses the reports of servers and nothing else.
type baseline struct {
	servers  []Member
	loads    map[ServerID]int
	inFlight map[ServerID]int
	rng      *rand.Rand
	region   steering.RegionName
	pick     func(b *baseline, q *Query) *Member
}

func (s *simulation) useBaseline(pick func(b *baseline, q *Query) *Member) {
	for _, region := range s.regions {
		s.policies = append(s.policies, &baseline{
			servers: s.membership().Members, loads: make(map[ServerID]int), inFlight: make(map[ServerID]int),
			rng: s.rng, region: region, pick: pick,
		})
	}
}

func (b *baseline) Place(q *Query, now time.Time) (*Placement, *Refusal) {
	m := b.pick(b, q)
	b.inFlight[m.ID]++
	return &Placement{Server: m.ID, sent: now}, nil
}

func (b *baseline) RecordResult(p *Placement, r *Result, _ time.Time) Effect {
	b.inFlight[p.Server]--
	if r.Load != nil {
		b.loads[p.Server] = r.Load.Running + r.Load.Waiting
	}
	return Effect{}
}

// leastLoadedOfThree picks the least loaded of three random servers in any region.
func leastLoadedOfThree(b *baseline, _ *Query) *Member {
	var best *Member
	for range 3 {
		m := &b.servers[b.rng.IntN(len(b.servers))]
		if best == nil || b.loads[m.ID]+b.inFlight[m.ID] < b.loads[best.ID]+b.inFlight[best.ID] {
			best = m
		}
	}
	return best
}

// rendezvousInRegion picks the server of its own region with the highest rendezvous score, whatever its load.
func rendezvousInRegion(b *baseline, q *Query) *Member {
	var best *Member
	for i := range b.servers {
		m := &b.servers[i]
		if m.Region == b.region && (best == nil || rendezvousScore(q.Object, m.ID) > rendezvousScore(q.Object, best.ID)) {
			best = m
		}
	}
	return best
}
