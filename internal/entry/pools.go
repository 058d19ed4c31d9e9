package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/azureflow/azureflow/internal/contract"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/upstream"
	"github.com/azureflow/azureflow/internal/vm"
)

// pools holds the upstream pool of each service and zone. Reading takes no lock.
type pools struct {
	rooms     *rooms
	selection upstream.Policy

	mu  sync.Mutex // serialises writers
	all atomic.Pointer[map[contract.Key]*upstream.Pool]
}

func newPools(r *rooms, opts Options) *pools {
	p := &pools{rooms: r, selection: opts.Policies.Selection}
	p.all.Store(&map[contract.Key]*upstream.Pool{})
	return p
}

// get returns the pool of a service in a zone, or nil.
func (p *pools) get(service steering.ServiceName, zone steering.ZoneName) *upstream.Pool {
	return (*p.all.Load())[contract.Key{Service: service, Zone: zone}]
}

// list returns all pools.
func (p *pools) list() []*upstream.Pool {
	all := *p.all.Load()
	out := make([]*upstream.Pool, 0, len(all))
	for _, pool := range all {
		out = append(out, pool)
	}
	return out
}

// update takes the upstreams of the VM list. A pool whose servers are all gone stays, empty, so that
// requests in flight are still counted.
func (p *pools) update(upstreams []vm.VM, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	byKey := make(map[contract.Key][]vm.VM)
	for _, u := range upstreams {
		key := contract.Key{Service: u.Service, Zone: u.Zone}
		byKey[key] = append(byKey[key], u)
	}
	next := make(map[contract.Key]*upstream.Pool, len(byKey))
	for key, pool := range *p.all.Load() {
		next[key] = pool
	}
	for key := range byKey {
		if next[key] == nil {
			next[key] = p.newPool(key)
		}
	}
	for key, pool := range next {
		pool.Update(byKey[key], now)
	}
	p.all.Store(&next)
}

func (p *pools) newPool(key contract.Key) *upstream.Pool {
	return upstream.NewPool(upstream.Options{
		Service:    key.Service,
		Zone:       key.Zone,
		Policy:     p.selection,
		OnCapacity: func() { p.rooms.signal(key.Service) },
	})
}
