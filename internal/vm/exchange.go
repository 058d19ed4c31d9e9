package vm

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/steering"
)

// ExchangerOptions configure an Exchanger. Zero values take the defaults.
type ExchangerOptions struct {
	Directory *Directory
	Self      func() *peer.VMState        // state of this VM now
	Leaders   func() []*peer.LeaderState  // zone leaders known to this VM
	Learn     func(l []*peer.LeaderState) // takes leaders that a peer told of
	Pool      *peer.Pool                  // connections to peers
	IsLeader  func(zone steering.ZoneName, name Name) bool
	Every     time.Duration // between two rounds; default 500 ms
	Timeout   time.Duration // of one exchange; default 400 ms
	Fanout    int           // peers of the own zone asked in a round; default 3
	Remote    int           // peers of other zones asked in a round; default 6
	Changes   int           // states passed on in one message; default 16
}

func (o ExchangerOptions) withDefaults() ExchangerOptions {
	if o.Every == 0 {
		o.Every = 500 * time.Millisecond
	}
	if o.Timeout == 0 {
		o.Timeout = 400 * time.Millisecond
	}
	if o.Fanout == 0 {
		o.Fanout = 3
	}
	if o.Remote == 0 {
		o.Remote = 6
	}
	if o.Changes == 0 {
		o.Changes = 16
	}
	return o
}

// Exchanger swaps states with other entry VMs. Its message count a second does not grow with the fleet:
// a VM asks a few peers of its own zone, and only a zone's leader asks a few of other zones, in turn.
type Exchanger struct {
	opts ExchangerOptions

	mu     sync.Mutex
	told   map[Name]uint64 // change up to which a peer was told
	rounds int
}

// NewExchanger returns an Exchanger for opts.
func NewExchanger(opts ExchangerOptions) *Exchanger {
	return &Exchanger{opts: opts.withDefaults(), told: make(map[Name]uint64)}
}

// Run exchanges until ctx ends.
func (x *Exchanger) Run(ctx context.Context) {
	tick := time.NewTicker(x.opts.Every)
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
	now := time.Now()
	known := x.changesFor(Name(req.GetSelf().GetName()))
	x.learn(req.GetSelf(), req.GetKnown(), req.GetLeaders(), now)
	return &peer.ExchangeReply{Self: x.opts.Self(), Known: known, Leaders: x.opts.Leaders()}, nil
}

func (x *Exchanger) exchange(ctx context.Context, target VM) {
	ctx, cancel := context.WithTimeout(ctx, x.opts.Timeout)
	defer cancel()
	req := &peer.ExchangeRequest{
		Self:    x.opts.Self(),
		Known:   x.changesFor(target.Name),
		Leaders: x.opts.Leaders(),
	}
	err := x.opts.Pool.Call(ctx, target.PeerAddress, func(c peer.DRPCPeerClient) error {
		reply, err := c.Exchange(ctx, req)
		if err != nil {
			return err
		}
		x.learn(reply.GetSelf(), reply.GetKnown(), reply.GetLeaders(), time.Now())
		return nil
	})
	if err != nil {
		x.forgetTold(target.Name)
	}
}

func (x *Exchanger) learn(self *peer.VMState, known []*peer.VMState, leaders []*peer.LeaderState, now time.Time) {
	states := append([]*peer.VMState{self}, known...)
	x.opts.Directory.Merge(states, now)
	x.opts.Learn(leaders)
}

// changesFor returns the states that a peer is told: changes first, then heartbeats to relay.
func (x *Exchanger) changesFor(name Name) []*peer.VMState {
	x.mu.Lock()
	defer x.mu.Unlock()
	states, upTo := x.opts.Directory.Changed(x.told[name], x.opts.Changes)
	x.told[name] = upTo
	return append(states, x.opts.Directory.Relay(x.opts.Changes-len(states))...)
}

func (x *Exchanger) forgetTold(name Name) {
	x.mu.Lock()
	delete(x.told, name)
	x.mu.Unlock()
}

// targets returns the peers of this round: those of the own zone by a ring over their hashes, and of
// the other zones in turn. Dead ones stay in turn so that a cut that heals is noticed.
func (x *Exchanger) targets() []VM {
	view := x.opts.Directory.View()
	self := view.EntryByName(x.opts.Directory.opts.Self)
	var near, far []VM
	for i := range view.Entries {
		e := view.Entries[i]
		switch {
		case e.VM.Name == self.VM.Name || e.VM.PeerAddress == "":
		case e.VM.Zone == self.VM.Zone:
			near = append(near, e.VM)
		default:
			far = append(far, e.VM)
		}
	}
	x.mu.Lock()
	round := x.rounds
	x.rounds++
	x.mu.Unlock()
	out := inTurn(near, x.opts.Fanout, round, self.VM.Name)
	if len(far) <= x.opts.Remote || x.opts.IsLeader(self.VM.Zone, self.VM.Name) {
		out = append(out, inTurn(far, x.opts.Remote, round, self.VM.Name)...)
	}
	return out
}

// inTurn returns n of vms, others each round, beginning at a place that differs between VMs.
func inTurn(vms []VM, n, round int, self Name) []VM {
	if len(vms) <= n {
		return vms
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].Name < vms[j].Name })
	start := (int(xxhash.Sum64String(string(self))%uint64(len(vms))) + round*n) % len(vms)
	out := make([]VM, 0, n)
	for i := range n {
		out = append(out, vms[(start+i)%len(vms)])
	}
	return out
}
