package entry

import (
	"cmp"
	"context"
	"io"
	"slices"
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

// lane is this VM's part of one direction of a link.
type lane struct {
	pacer *link.Pacer

	// Guarded by links.mu.
	share *link.Share
	busy  time.Time // when this VM last could have sent more if it had more
}

// links paces what this VM puts on the links of its region: bodies of requests to upstreams elsewhere,
// and, in the other direction, their answers. Each direction is divided between the entry VMs of the
// two regions that fill it. It implements request.Pacer.
type links struct {
	self    Identity
	started time.Time

	mu     sync.Mutex // guards all shares and serialises writers
	listed []vm.VM    // entry VMs of the newest VM list
	asked  time.Time  // when that list was asked for
	all    atomic.Pointer[map[direction]*lane]
}

func newLinks(self Identity) *links {
	l := &links{self: self, started: time.Now()}
	l.all.Store(&map[direction]*lane{})
	return l
}

// Body implements request.Pacer. A body that stays within a region is not paced.
func (l *links) Body(ctx context.Context, from, to steering.RegionName, class steering.Class, body io.Reader) io.Reader {
	own := l.lane(direction{from, to})
	if own == nil {
		return body
	}
	return own.pacer.Reader(ctx, body, class)
}

// lane returns this VM's part of a direction, or nil if its region has no end of it.
func (l *links) lane(key direction) *lane { return (*l.all.Load())[key] }

// directions returns the directions that this VM fills, in order.
func (l *links) directions() []direction {
	var keys []direction
	for key := range *l.all.Load() {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b direction) int {
		return cmp.Or(cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to))
	})
	return keys
}

// update takes the links of the configuration and brings the pacers in step with the shares.
func (l *links) update(cfg *steering.Configuration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := make(map[direction]*lane)
	for i := range cfg.Platform.Links {
		k := &cfg.Platform.Links[i]
		if k.From != l.self.Region && k.To != l.self.Region {
			continue
		}
		key := direction{k.From, k.To}
		own := l.lane(key)
		if own == nil {
			own = l.newLane(k)
		}
		own.share.SetCapacity(k.CapacityMbit)
		own.apply(now)
		next[key] = own
	}
	l.all.Store(&next)
}

// floorShare is the part of a direction that is divided into floors. A floor is all that a VM has in its
// first seconds, or while neither the VM list nor its peers answer; floors of VMs that do not exist
// are lost.
const floorShare = 0.05

func (l *links) newLane(k *steering.Link) *lane {
	own := &lane{
		share: link.NewShare(link.ShareOptions{Self: l.self.Name, CapacityMbit: k.CapacityMbit, FloorShare: floorShare}, l.started),
		pacer: link.NewPacer(link.Options{From: k.From, To: k.To}),
	}
	if !l.asked.IsZero() {
		own.share.UpdateMembers(fillers(l.listed, direction{k.From, k.To}), l.asked)
	}
	return own
}

// apply lets the pacer fill what the share gives now. The pacer itself takes back what lapses.
func (l *lane) apply(now time.Time) {
	until, after := l.share.Expiry(now)
	l.pacer.SetLease(l.share.Rate(now), until, after)
}

// observeList takes the rows of a VM list that was asked for at the time asked.
func (l *links) observeList(rows []vm.VM, asked, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked = asked
	l.listed = nil
	for i := range rows {
		if rows[i].Kind == vm.KindEntry {
			l.listed = append(l.listed, rows[i])
		}
	}
	for key, own := range *l.all.Load() {
		own.share.UpdateMembers(fillers(l.listed, key), asked)
		own.apply(now)
	}
}

// fillers returns the entry VMs that put bytes on a direction. One that leaves still does.
func fillers(rows []vm.VM, key direction) []vm.Name {
	var names []vm.Name
	for i := range rows {
		if rows[i].Region == key.from || rows[i].Region == key.to {
			names = append(names, rows[i].Name)
		}
	}
	return names
}

// observe returns the room on each link of this VM's region.
func (l *links) observe(now time.Time) []region.LinkObservation {
	var out []region.LinkObservation
	for key, own := range *l.all.Load() {
		out = append(out, region.LinkObservation{From: key.from, To: key.to, AvailableMbit: own.pacer.Usage(now).HeadroomMbit})
	}
	return out
}
