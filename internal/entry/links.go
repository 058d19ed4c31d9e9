package entry

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azureflow/azureflow/internal/link"
	"github.com/azureflow/azureflow/internal/region"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// direction names one direction of the link between two regions.
type direction struct{ from, to steering.RegionName }

// links paces what this VM puts on the links of its region: bodies of requests to upstreams elsewhere,
// and, in the other direction, their answers. It implements request.Pacer.
type links struct {
	self Identity

	mu  sync.Mutex // serialises writers
	all atomic.Pointer[map[direction]*link.Pacer]
}

func newLinks(self Identity) *links {
	l := &links{self: self}
	l.all.Store(&map[direction]*link.Pacer{})
	return l
}

// Body implements request.Pacer. A body that stays within a region is not paced.
func (l *links) Body(ctx context.Context, from, to steering.RegionName, class steering.Class, body io.Reader) io.Reader {
	p := (*l.all.Load())[direction{from, to}]
	if p == nil {
		return body
	}
	return p.Reader(ctx, body, class)
}

// update divides each direction between the entry VMs of the two regions that fill it. A VM that is
// only suspected still counts: it may be sending.
func (l *links) update(cfg *steering.Configuration, view *vm.View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := make(map[direction]*link.Pacer)
	fillers := fillers(view)
	for i := range cfg.Platform.Links {
		k := &cfg.Platform.Links[i]
		if k.From != l.self.Region && k.To != l.self.Region {
			continue
		}
		mbit := k.CapacityMbit / float64(max(1, fillers[k.From]+fillers[k.To]))
		key := direction{k.From, k.To}
		p := (*l.all.Load())[key]
		if p == nil {
			p = link.NewPacer(link.Options{From: k.From, To: k.To, CapacityMbit: mbit})
		}
		p.SetRate(mbit)
		next[key] = p
	}
	l.all.Store(&next)
}

// fillers counts the entry VMs of each region that put bytes on its links.
func fillers(view *vm.View) map[steering.RegionName]int {
	n := make(map[steering.RegionName]int)
	for _, e := range view.Entries {
		if e.Liveness != vm.Dead {
			n[e.VM.Region]++
		}
	}
	return n
}

// observe returns the room on each link of this VM's region.
func (l *links) observe(now time.Time) []region.LinkObservation {
	var out []region.LinkObservation
	for key, p := range *l.all.Load() {
		out = append(out, region.LinkObservation{From: key.from, To: key.to, RoomMbit: p.Usage(now).HeadroomMbit})
	}
	return out
}
