package entry

import (
	"context"
	"io"
	stdlog "log"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/azureflow/azureflow/internal/contract"
	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/refplatform"
	"github.com/azureflow/azureflow/internal/region"
	"github.com/azureflow/azureflow/internal/request"
	"github.com/azureflow/azureflow/internal/review"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// Daemon is the running daemon of an entry VM.
type Daemon struct {
	parts daemonParts
	stop  context.CancelFunc
	loops sync.WaitGroup
	cut   atomic.Int64
}

// daemonParts is what a Daemon runs.
type daemonParts struct {
	fx.In

	Settings  *steering.Settings
	Self      Identity
	Store     refplatform.Store
	VMList    *zoneList
	Directory *vm.Directory
	Exchanger *vm.Exchanger
	Follower  *steering.Follower
	Pokes     *pokes
	Domains   *domains
	Leaders   *vm.Leaders
	Links     *links
	Peers     *peers
	PeerPool  *peer.Pool
	Book      *contract.SlotPool
	Pools     *pools
	Contacts  *contacts
	Topology  *topology
	Handler   *request.Handler
	Records   *review.Log
	Recorder  review.Recorder
	Servers   *servers
	Log       logrus.FieldLogger
}

func newDaemon(lc fx.Lifecycle, parts daemonParts) *Daemon {
	d := &Daemon{parts: parts}
	lc.Append(fx.Hook{OnStart: d.start, OnStop: d.end})
	return d
}

// Revision returns the revision in force on this VM, 0 while there is none.
func (d *Daemon) Revision() steering.Revision { return d.parts.Follower.Revision() }

// Records returns the decision records of this VM.
func (d *Daemon) Records() *review.Log { return d.parts.Records }

// Plans returns the plans in force on this VM, one for each service. The caller must not change them.
func (d *Daemon) Plans() []region.Plan { return d.parts.Topology.table.Plans() }

// Leads reports whether this VM leads a zone.
func (d *Daemon) Leads(zone steering.ZoneName) bool { return d.parts.Domains.leads(zone) }

// Cut returns how many requests were still in flight when a planned stop ended its wait for them.
func (d *Daemon) Cut() int64 { return d.cut.Load() }

// start begins every loop and then the servers.
func (d *Daemon) start(context.Context) error {
	p := &d.parts
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	p.Pokes.fn = p.Topology.poke
	d.loop(func() {
		pollVMs(ctx, p.VMList, p.Directory, p.Links, p.Settings.Limits.PollVMList.Std(), p.Topology.poke)
	})
	d.loop(func() { p.Exchanger.Run(ctx) })
	d.loop(func() { _ = p.Follower.Run(ctx) })
	d.loop(func() { p.Domains.run(ctx) })
	d.loop(func() { p.Topology.run(ctx) })
	d.loop(func() { d.notice(ctx) })
	d.loop(func() { d.borrower().Run(ctx) })
	d.loop(func() { (&linkLoans{links: p.Links, ask: p.Peers.askRates}).run(ctx) })
	d.loop(func() { providePoller(p.Contacts, p.Pools).Run(ctx) })
	d.loop(func() { p.Records.Run(ctx) })
	d.loop(func() { review.NewMirror(review.MirrorOptions{Log: p.Records, Send: p.Peers.mirror}).Run(ctx) })
	d.loop(func() { d.digester().Run(ctx) })
	p.Servers.start(ctx)
	p.Log.WithFields(logrus.Fields{"incarnation": p.Self.Incarnation}).Info("started")
	return nil
}

func (d *Daemon) loop(fn func()) { d.loops.Go(fn) }

// notice tells the follower of revisions that heartbeats carry, and the book of requests that wait.
func (d *Daemon) notice(ctx context.Context) {
	const interval = 250 * time.Millisecond
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		d.parts.Topology.noteWaiting(d.parts.Handler.Queue().Waiting)
		view := d.parts.Directory.View()
		for i := range view.Entries {
			if r := view.Entries[i].Revision; r > d.parts.Follower.Revision() {
				d.parts.Follower.OnPeerRevision(r)
			}
		}
	}
}

func (d *Daemon) borrower() *contract.Grantee {
	return contract.NewGrantee(contract.GranteeOptions{
		Pool:         d.parts.Book,
		RequestGrant: d.parts.Peers.askGrant,
		ReturnGrant:  d.parts.Peers.returnGrant,
		IsLeader:     d.parts.Domains.leads,
	})
}

func (d *Daemon) digester() *review.Digester {
	return review.NewDigester(review.DigesterOptions{
		Log:      d.parts.Records,
		Store:    d.parts.Store,
		Zone:     d.parts.Self.Zone,
		Leader:   func() bool { return d.parts.Domains.leads(d.parts.Self.Zone) },
		ToLeader: d.parts.Peers.toLeader,
	})
}

// end is the planned stop: lookups stop naming this VM, what still arrives is served, nothing in
// flight is cut. Only then the servers and the loops end.
func (d *Daemon) end(ctx context.Context) error {
	began := time.Now()
	p := &d.parts
	p.Recorder.Record(&review.Record{Kind: review.KindStop, Constraint: review.ConstraintDrain, Result: "begun"})
	p.Handler.BeginStop()
	p.Topology.poke()
	select {
	case <-p.Handler.Drained():
	case <-ctx.Done():
	}
	p.Servers.quiesce(ctx)
	d.cut.Store(int64(p.Handler.InFlight()))
	p.Recorder.Record(&review.Record{
		Kind: review.KindStop, Constraint: review.ConstraintDrain, Result: "drained", Took: time.Since(began),
	})
	p.Log.WithFields(logrus.Fields{"took_ms": time.Since(began).Milliseconds(), "in_flight": p.Handler.InFlight()}).Info("drained")
	return d.shutdown(ctx)
}

// shutdown ends the servers and loops; what follows the drain has its own short limit.
func (d *Daemon) shutdown(ctx context.Context) error {
	const limit = 3 * time.Second
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer cancel()
	d.parts.Servers.requests.Drain(ctx, 0)
	d.parts.Servers.requests.Close()
	d.stop()
	d.loops.Wait()
	_ = d.parts.Servers.admin.Shutdown(ctx)
	return d.parts.PeerPool.Close()
}

// discardLog drops net/http's own lines: each failure of a connection is counted and recorded
// where it matters.
func discardLog() *stdlog.Logger { return stdlog.New(io.Discard, "", 0) }
