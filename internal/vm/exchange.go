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
	Interval     time.Duration        // between two rounds; default 500 ms
	Timeout      time.Duration        // of one exchange; default 400 ms
	Fanout       int                  // peers of the own zone asked in a round; default 3
	RemoteFanout int                  // peers of other zones asked in a round; default 6
	MaxStates    int                  // states passed on in one message, and leaders; default 16
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

// Exchanger swaps states with other entry VMs. Its message count a second does not grow with the fleet:
// a VM asks a few peers of its own zone, and only a zone's leader asks a few of other zones, in turn.
type Exchanger struct {
	opts ExchangerOptions

	mu      sync.Mutex
	told    map[Name]uint64 // change up to which a peer was told
	digests map[Name]uint64 // of the leaders that a peer knew when last heard
	rounds  int
}

// NewExchanger returns an Exchanger for opts.
func NewExchanger(opts ExchangerOptions) *Exchanger {
	return &Exchanger{opts: opts.withDefaults(), told: make(map[Name]uint64), digests: make(map[Name]uint64)}
}

// Run exchanges until ctx ends.
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

// Round exchanges once with each peer whose turn it is, in parallel.
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

// Exchange serves the call of a peer.
func (x *Exchanger) Exchange(_ context.Context, req *peer.ExchangeRequest) (*peer.ExchangeReply, error) {
	name := Name(req.GetSelf().GetName())
	known := x.changesFor(name)
	x.learn(req, time.Now())
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
	req := x.request(target.Name)
	err := x.opts.Pool.Call(ctx, target.PeerAddress, func(c peer.DRPCPeerClient) error {
		reply, err := c.Exchange(ctx, req)
		if err != nil {
			return err
		}
		x.learn(reply, time.Now())
		return nil
	})
	if err != nil {
		x.forgetTold(target.Name)
	}
}

// request returns the next message to a peer.
func (x *Exchanger) request(name Name) *peer.ExchangeRequest {
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

func (x *Exchanger) learn(m message, now time.Time) {
	states := append([]*peer.VMState{m.GetSelf()}, m.GetKnown()...)
	x.opts.Directory.Merge(states, now)
	x.opts.Leaders.Merge(m.GetLeaders())
	x.mu.Lock()
	x.digests[Name(m.GetSelf().GetName())] = m.GetLeadersDigest()
	x.mu.Unlock()
}

// leadersFor returns the leaders that a peer is told: none if it knew the same when last heard.
func (x *Exchanger) leadersFor(name Name) []*peer.LeaderState {
	x.mu.Lock()
	digest, heard := x.digests[name]
	x.mu.Unlock()
	if heard && digest == x.opts.Leaders.Digest() {
		return nil
	}
	return x.opts.Leaders.Sample(x.opts.MaxStates)
}

// changesFor returns the states that a peer is told: changes first, then heartbeats to relay.
func (x *Exchanger) changesFor(name Name) []*peer.VMState {
	x.mu.Lock()
	defer x.mu.Unlock()
	states, upTo := x.opts.Directory.ChangedSince(x.told[name], x.opts.MaxStates)
	x.told[name] = upTo
	return append(states, x.opts.Directory.RelayStates(x.opts.MaxStates-len(states))...)
}

func (x *Exchanger) forgetTold(name Name) {
	x.mu.Lock()
	delete(x.told, name)
	delete(x.digests, name)
	x.mu.Unlock()
}

// targets returns the peers of this round: those of the own zone by a ring over their hashes, and of
// the other zones in turn. Dead ones stay in turn so that a cut that heals is noticed.
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
	out := inTurn(near, x.opts.Fanout, round, self.VM.Name)
	if len(far) <= x.opts.RemoteFanout || x.opts.Leaders.IsLeader(self.VM.Zone, self.VM.Name) {
		out = append(out, inTurn(far, x.opts.RemoteFanout, round, self.VM.Name)...)
	}
	return out
}

// inTurn returns the VMs of n entries, others each round, beginning at a place that differs between VMs.
// Entries are sorted by name.
func inTurn(entries []*Entry, n, round int, self Name) []VM {
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
