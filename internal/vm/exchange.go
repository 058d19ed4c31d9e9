package vm

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"github.com/azureflow/azureflow/internal/peer"
)

// ExchangerOptions configure an Exchanger. Zero values take the defaults.
type ExchangerOptions struct {
	Directory    *Directory
	Leaders      *Leaders
	Self         func() *peer.VMState // state of this VM now
	Pool         *peer.Pool           // connections to peers
	Interval     time.Duration        // between rounds; default 500 ms
	Timeout      time.Duration        // of one exchange; default 400 ms
	Fanout       int                  // peers of the own zone called in a round; default 3
	RemoteFanout int                  // peers of other zones called in a round; default 6
	MaxStates    int                  // max states of other VMs in one message, also max leaders; default 16
}

func (o ExchangerOptions) withDefaults() ExchangerOptions {
	if o.Interval == 0 {
		o.Interval = 500 * time.Millisecond
	}
	if o.Timeout == 0 {
		o.Timeout = 400 * time.Millisecond
	}
	if o.Fanout == 0 {
		o.Fanout = 3
	}
	if o.RemoteFanout == 0 {
		o.RemoteFanout = 6
	}
	if o.MaxStates == 0 {
		o.MaxStates = 16
	}
	return o
}

// Exchanger exchanges states with other entry VMs by gossip. Its message rate does not grow with the fleet: a VM calls
// a few peers of its own zone in turn, and in a larger fleet only the leader of a zone calls a few VMs of other zones.
type Exchanger struct {
	opts ExchangerOptions

	mu          sync.Mutex
	sentChanges map[Name]uint64 // number of the last change that was sent to a peer
	digests     map[Name]uint64 // of the leaders that a peer had at the last contact
	rounds      int
}

// NewExchanger returns an Exchanger for opts.
func NewExchanger(opts ExchangerOptions) *Exchanger {
	return &Exchanger{opts: opts.withDefaults(), sentChanges: make(map[Name]uint64), digests: make(map[Name]uint64)}
}

// Run runs an exchange round at every interval until ctx is done.
func (x *Exchanger) Run(ctx context.Context) {
	tick := time.NewTicker(x.opts.Interval)
	defer tick.Stop()
	for {
		x.Round(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// Round exchanges states once with each target of this round, in parallel.
func (x *Exchanger) Round(ctx context.Context) {
	var g errgroup.Group
	for _, target := range x.targets() {
		g.Go(func() error {
			x.exchange(ctx, target)
			return nil
		})
	}
	_ = g.Wait()
	x.opts.Directory.Refresh(time.Now())
}

// Exchange handles an exchange call from a peer.
func (x *Exchanger) Exchange(_ context.Context, req *peer.ExchangeRequest) (*peer.ExchangeReply, error) {
	name := Name(req.GetSelf().GetName())
	known := x.changesFor(name)
	x.merge(req, time.Now())
	return &peer.ExchangeReply{
		Self:          x.opts.Self(),
		Known:         known,
		Leaders:       x.leadersFor(name),
		LeadersDigest: x.opts.Leaders.Digest(),
	}, nil
}

func (x *Exchanger) exchange(ctx context.Context, target VM) {
	ctx, cancel := context.WithTimeout(ctx, x.opts.Timeout)
	defer cancel()
	req := x.newRequest(target.Name)
	err := x.opts.Pool.Call(ctx, target.PeerAddress, func(c peer.DRPCPeerClient) error {
		reply, err := c.Exchange(ctx, req)
		if err != nil {
			return err
		}
		x.merge(reply, time.Now())
		return nil
	})
	if err != nil {
		x.resetPeer(target.Name)
	}
}

// newRequest returns the next request to a peer.
func (x *Exchanger) newRequest(name Name) *peer.ExchangeRequest {
	return &peer.ExchangeRequest{
		Self:          x.opts.Self(),
		Known:         x.changesFor(name),
		Leaders:       x.leadersFor(name),
		LeadersDigest: x.opts.Leaders.Digest(),
	}
}

// message is an ExchangeRequest or an ExchangeReply.
type message interface {
	GetSelf() *peer.VMState
	GetKnown() []*peer.VMState
	GetLeaders() []*peer.LeaderState
	GetLeadersDigest() uint64
}

func (x *Exchanger) merge(m message, now time.Time) {
	states := append([]*peer.VMState{m.GetSelf()}, m.GetKnown()...)
	x.opts.Directory.Merge(states, now)
	x.opts.Leaders.Merge(m.GetLeaders())
	x.mu.Lock()
	x.digests[Name(m.GetSelf().GetName())] = m.GetLeadersDigest()
	x.mu.Unlock()
}

// leadersFor returns the leaders to send to a peer: none if it had the same leaders at the last contact.
func (x *Exchanger) leadersFor(name Name) []*peer.LeaderState {
	x.mu.Lock()
	digest, found := x.digests[name]
	x.mu.Unlock()
	if found && digest == x.opts.Leaders.Digest() {
		return nil
	}
	return x.opts.Leaders.Sample(x.opts.MaxStates)
}

// changesFor returns the states to send to a peer: changes first, then heartbeats to relay.
func (x *Exchanger) changesFor(name Name) []*peer.VMState {
	x.mu.Lock()
	defer x.mu.Unlock()
	states, upTo := x.opts.Directory.ChangedSince(x.sentChanges[name], x.opts.MaxStates)
	x.sentChanges[name] = upTo
	return append(states, x.opts.Directory.RelayStates(x.opts.MaxStates-len(states))...)
}

func (x *Exchanger) resetPeer(name Name) {
	x.mu.Lock()
	delete(x.sentChanges, name)
	delete(x.digests, name)
	x.mu.Unlock()
}

// targets returns the peers to call in this round: VMs of the own zone and, if there are few or this VM leads its zone,
// of other zones, both round robin. Dead VMs are included, so that the end of a network partition is noticed.
func (x *Exchanger) targets() []VM {
	view := x.opts.Directory.View()
	self := view.EntryByName(x.opts.Directory.opts.Self)
	var near []*Entry
	far := make([]*Entry, 0, len(view.Entries))
	for _, e := range view.Entries {
		switch {
		case e.VM.Name == self.VM.Name || e.VM.PeerAddress == "":
		case e.VM.Zone == self.VM.Zone:
			near = append(near, e)
		default:
			far = append(far, e)
		}
	}
	x.mu.Lock()
	round := x.rounds
	x.rounds++
	x.mu.Unlock()
	out := roundRobin(near, x.opts.Fanout, round, self.VM.Name)
	if len(far) <= x.opts.RemoteFanout || x.opts.Leaders.IsLeader(self.VM.Zone, self.VM.Name) {
		out = append(out, roundRobin(far, x.opts.RemoteFanout, round, self.VM.Name)...)
	}
	return out
}

// roundRobin returns the VMs of n entries, different ones each round. The start index depends on the hash of self,
// so that VMs start at different entries. Entries are sorted by name.
func roundRobin(entries []*Entry, n, round int, self Name) []VM {
	start := 0
	if len(entries) > n {
		start = (int(xxhash.Sum64String(string(self))%uint64(len(entries))) + round*n) % len(entries)
	}
	out := make([]VM, 0, n)
	for i := range min(n, len(entries)) {
		out = append(out, entries[(start+i)%len(entries)].VM)
	}
	return out
}
