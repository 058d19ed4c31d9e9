package entry

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/region"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

const (
	planPeers        = 4               // asked for their plans at a start
	planFetchTimeout = time.Second     // of one call
	planFetchLimit   = 5 * time.Second // after which a VM whose peers do not answer plans alone
)

// planServer answers peers that just started. It implements a part of peer.DRPCPeerServer.
type planServer struct{ table *region.Table }

func newPlanServer(t *region.Table) *planServer { return &planServer{table: t} }

// FetchPlans implements peer.DRPCPeerServer.
func (s *planServer) FetchPlans(context.Context, *peer.FetchPlansRequest) (*peer.FetchPlansReply, error) {
	text, err := json.Marshal(s.table.Plans())
	if err != nil {
		return nil, err
	}
	return &peer.FetchPlansReply{Plans: text}, nil
}

// fetchPlansFunc calls FetchPlans at an entry VM.
type fetchPlansFunc func(ctx context.Context, from vm.Name) ([]region.Plan, error)

// firstPlans gets the plans that a VM which just started goes on from, so that its first plan moves no
// traffic. It is not safe for concurrent use.
type firstPlans struct {
	self  Identity
	fetch fetchPlansFunc

	began time.Time
	done  bool
	plans []region.Plan // the longest-lived of the peers' plans, one for each service
}

// ready reports whether planning may begin: peers answered, there are none, or they were silent for too
// long. Before the VM list is read nobody can be asked, and no server is known to plan for.
func (f *firstPlans) ready(ctx context.Context, view *vm.View, now time.Time) bool {
	if f.done {
		return true
	}
	if view.ListAt.IsZero() {
		return false
	}
	if f.began.IsZero() {
		f.began = now
	}
	peers := f.peers(view)
	f.done = len(peers) == 0 || f.ask(ctx, peers) || now.Sub(f.began) >= planFetchLimit
	return f.done
}

// peers returns the VMs to ask, those of the own region first.
func (f *firstPlans) peers(view *vm.View) []vm.Name {
	var near, far []vm.Name
	for i := range view.Entries {
		e := view.Entries[i]
		switch {
		case e.VM.Name == f.self.Name || e.Liveness == vm.Dead:
		case e.VM.Region == f.self.Region:
			near = append(near, e.VM.Name)
		default:
			far = append(far, e.VM.Name)
		}
	}
	all := append(near, far...)
	return all[:min(len(all), planPeers)]
}

// ask asks all peers at once and reports whether one answered.
func (f *firstPlans) ask(ctx context.Context, peers []vm.Name) bool {
	ctx, cancel := context.WithTimeout(ctx, planFetchTimeout)
	defer cancel()
	var mu sync.Mutex
	var group errgroup.Group
	answered := false
	for _, name := range peers {
		group.Go(func() error {
			plans, err := f.fetch(ctx, name)
			if err != nil {
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			answered = true
			f.keep(plans)
			return nil
		})
	}
	_ = group.Wait()
	return answered
}

// keep keeps the plan of each service that has the highest epoch: a peer that just started as well
// has a low one.
func (f *firstPlans) keep(plans []region.Plan) {
	for i := range plans {
		if known := f.of(plans[i].Service); known == nil {
			f.plans = append(f.plans, plans[i])
		} else if plans[i].Epoch > known.Epoch {
			*known = plans[i]
		}
	}
}

func (f *firstPlans) of(service steering.ServiceName) *region.Plan {
	for i := range f.plans {
		if f.plans[i].Service == service {
			return &f.plans[i]
		}
	}
	return nil
}
