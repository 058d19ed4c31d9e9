package entry

import (
	"context"
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/region"
	"github.com/azureflow/azureflow/internal/review"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// UnknownPeerError reports an entry VM whose peer address is not known.
type UnknownPeerError struct{ Name vm.Name }

// Error implements error.
func (e *UnknownPeerError) Error() string {
	return "no peer address known of entry VM " + string(e.Name)
}

// NoLeaderError reports a zone none of whose entry VMs is known.
type NoLeaderError struct{ Zone steering.ZoneName }

// Error implements error.
func (e *NoLeaderError) Error() string { return "no entry VM known in " + string(e.Zone) }

// peers calls other entry VMs by name. It implements request.PeerCaller.
type peers struct {
	self      Identity
	directory *vm.Directory
	leaders   *vm.Leaders
	pool      *peer.Pool
}

func (p *peers) call(ctx context.Context, name vm.Name, fn func(peer.DRPCPeerClient) error) error {
	e := p.directory.View().EntryByName(name)
	if e == nil || e.VM.PeerAddress == "" {
		return &UnknownPeerError{Name: name}
	}
	return p.pool.Call(ctx, e.VM.PeerAddress, fn)
}

// PromiseNotSent implements request.PeerCaller.
func (p *peers) PromiseNotSent(ctx context.Context, entry vm.Name, req *peer.PromiseRequest) (reply *peer.PromiseReply, err error) {
	err = p.call(ctx, entry, func(c peer.DRPCPeerClient) error {
		reply, err = c.PromiseNotSent(ctx, req)
		return err
	})
	return reply, err
}

// ClaimKey implements request.PeerCaller.
func (p *peers) ClaimKey(ctx context.Context, entry vm.Name, req *peer.ClaimRequest) (reply *peer.ClaimReply, err error) {
	err = p.call(ctx, entry, func(c peer.DRPCPeerClient) error {
		reply, err = c.ClaimKey(ctx, req)
		return err
	})
	return reply, err
}

// EntryVMs implements request.PeerCaller.
func (p *peers) EntryVMs(region steering.RegionName) []vm.Name {
	var names []vm.Name
	view := p.directory.View()
	for i := range view.Entries {
		e := view.Entries[i]
		if e.VM.Region == region && e.Liveness != vm.Dead {
			names = append(names, e.VM.Name)
		}
	}
	return names
}

// askGrantAt calls AskGrant at one entry VM.
func (p *peers) askGrantAt(ctx context.Context, to vm.Name, req *peer.AskGrantRequest) (reply *peer.AskGrantReply, err error) {
	err = p.call(ctx, to, func(c peer.DRPCPeerClient) error {
		reply, err = c.AskGrant(ctx, req)
		return err
	})
	return reply, err
}

// askGrant calls AskGrant at the leader of a zone.
func (p *peers) askGrant(ctx context.Context, zone steering.ZoneName, req *peer.AskGrantRequest) (*peer.AskGrantReply, error) {
	leader, err := p.leaderOf(zone)
	if err != nil {
		return nil, err
	}
	return p.askGrantAt(ctx, leader, req)
}

// askRates calls AskRates at one entry VM.
func (p *peers) askRates(ctx context.Context, to vm.Name, req *peer.AskRatesRequest) (reply *peer.AskRatesReply, err error) {
	err = p.call(ctx, to, func(c peer.DRPCPeerClient) error {
		reply, err = c.AskRates(ctx, req)
		return err
	})
	return reply, err
}

// fetchPlans returns the plans in force at one entry VM.
func (p *peers) fetchPlans(ctx context.Context, from vm.Name) (plans []region.Plan, err error) {
	err = p.call(ctx, from, func(c peer.DRPCPeerClient) error {
		reply, err := c.FetchPlans(ctx, &peer.FetchPlansRequest{})
		if err != nil {
			return err
		}
		return json.Unmarshal(reply.GetPlans(), &plans)
	})
	return plans, err
}

// returnGrant calls ReturnGrant at the leader of a zone.
func (p *peers) returnGrant(ctx context.Context, zone steering.ZoneName, req *peer.ReturnGrantRequest) (reply *peer.ReturnGrantReply, err error) {
	leader, err := p.leaderOf(zone)
	if err != nil {
		return nil, err
	}
	err = p.call(ctx, leader, func(c peer.DRPCPeerClient) error {
		reply, err = c.ReturnGrant(ctx, req)
		return err
	})
	return reply, err
}

// leaderOf returns the leader of zone, or while none is known any live entry VM of it.
func (p *peers) leaderOf(zone steering.ZoneName) (vm.Name, error) {
	if leader, _ := p.leaders.Of(zone); leader != "" {
		return leader, nil
	}
	view := p.directory.View()
	for i := range view.Entries {
		e := view.Entries[i]
		if e.VM.Zone == zone && e.VM.Name != p.self.Name && e.Liveness != vm.Dead {
			return e.VM.Name, nil
		}
	}
	return "", &NoLeaderError{Zone: zone}
}

// fetchRevision asks the peers with the highest revision for it; above 0 asks for the whole.
func (p *peers) fetchRevision(ctx context.Context, above steering.Revision) ([]byte, steering.Revision, error) {
	var lastErr error
	for _, name := range p.byRevision() {
		var reply *peer.FetchRevisionReply
		err := p.call(ctx, name, func(c peer.DRPCPeerClient) (err error) {
			reply, err = c.FetchRevision(ctx, &peer.FetchRevisionRequest{Above: uint64(above)})
			return err
		})
		if err != nil {
			lastErr = err
			continue
		}
		return reply.GetConfiguration(), steering.Revision(reply.GetRevision()), nil
	}
	return nil, 0, &steering.NoPeerError{Cause: lastErr}
}

// fetchVMs asks an entry VM for changes of the VM list.
func (p *peers) fetchVMs(ctx context.Context, from vm.Name, req *peer.FetchVMsRequest) (reply *peer.FetchVMsReply, err error) {
	err = p.call(ctx, from, func(c peer.DRPCPeerClient) error {
		reply, err = c.FetchVMs(ctx, req)
		return err
	})
	return reply, err
}

// byRevision returns up to 3 other live entry VMs, the highest revision first.
func (p *peers) byRevision() []vm.Name {
	const asked = 3
	var best []*vm.Entry
	view := p.directory.View()
	for _, e := range view.Entries {
		if e.VM.Name == p.self.Name || e.Liveness == vm.Dead {
			continue
		}
		at := len(best)
		for at > 0 && best[at-1].Revision < e.Revision {
			at--
		}
		best = append(best[:at], append([]*vm.Entry{e}, best[at:]...)...)
		best = best[:min(len(best), asked)]
	}
	names := make([]vm.Name, len(best))
	for i := range best {
		names[i] = best[i].VM.Name
	}
	return names
}

// mirror sends records to a live peer in another zone, else in this one.
func (p *peers) mirror(ctx context.Context, req *peer.MirrorRequest) error {
	var lastErr error = &NoLeaderError{Zone: p.self.Zone}
	for _, name := range p.mirrorTargets() {
		lastErr = p.mirrorTo(ctx, name, req)
		if lastErr == nil {
			return nil
		}
	}
	return lastErr
}

func (p *peers) mirrorTo(ctx context.Context, name vm.Name, req *peer.MirrorRequest) error {
	return p.call(ctx, name, func(c peer.DRPCPeerClient) error {
		_, err := c.MirrorRecords(ctx, req)
		return err
	})
}

// mirrorTargets returns the live peers to try, those in other zones of the region first. Among them each
// VM of a zone begins at its own place, so that the zone's records are spread over all of them.
func (p *peers) mirrorTargets() []vm.Name {
	const tried = 3
	var near, far, own []vm.Name
	place := 0
	for _, e := range p.directory.View().Entries {
		switch {
		case e.VM.Name == p.self.Name:
			place = len(own)
		case e.Liveness != vm.Live:
		case e.VM.Zone == p.self.Zone:
			own = append(own, e.VM.Name)
		case e.VM.Region == p.self.Region:
			near = append(near, e.VM.Name)
		default:
			far = append(far, e.VM.Name)
		}
	}
	place += int(xxhash.Sum64String(string(p.self.Zone)) % placesOfZone)
	all := append(append(beginAt(near, place), beginAt(far, place)...), beginAt(own, place)...)
	return all[:min(len(all), tried)]
}

// placesOfZone is the number of places at which a zone's VMs may begin: zones that have no other in their
// region choose among all VMs of the other regions.
const placesOfZone = 1 << 16

// beginAt returns names turned so that the one at place comes first.
func beginAt(names []vm.Name, place int) []vm.Name {
	if len(names) == 0 {
		return nil
	}
	place %= len(names)
	return append(append(make([]vm.Name, 0, len(names)), names[place:]...), names[:place]...)
}

// toLeader sends a digest to the leader of this VM's zone.
func (p *peers) toLeader(ctx context.Context, req *peer.MirrorRequest) error {
	leader, err := p.leaderOf(p.self.Zone)
	if err != nil {
		return err
	}
	return p.mirrorTo(ctx, leader, req)
}

// sources returns the other entry VMs as places to look for records.
func (p *peers) sources() []review.PeerSource {
	var out []review.PeerSource
	view := p.directory.View()
	for i := range view.Entries {
		name := view.Entries[i].VM.Name
		if name == p.self.Name {
			continue
		}
		out = append(out, review.PeerSource{VM: name, Fetch: p.fetchFrom(name)})
	}
	return out
}

func (p *peers) fetchFrom(name vm.Name) func(context.Context, *peer.FetchRecordsRequest) (*peer.FetchRecordsReply, error) {
	return func(ctx context.Context, req *peer.FetchRecordsRequest) (reply *peer.FetchRecordsReply, err error) {
		err = p.call(ctx, name, func(c peer.DRPCPeerClient) error {
			reply, err = c.FetchRecords(ctx, req)
			return err
		})
		return reply, err
	}
}
