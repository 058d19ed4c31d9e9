package entry

import (
	"context"
	"os"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/fx"

	"github.com/azureflow/azureflow/internal/contract"
	"github.com/azureflow/azureflow/internal/lookup"
	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/refplatform"
	"github.com/azureflow/azureflow/internal/region"
	"github.com/azureflow/azureflow/internal/request"
	"github.com/azureflow/azureflow/internal/review"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/telemetry"
	"github.com/azureflow/azureflow/internal/upstream"
	"github.com/azureflow/azureflow/internal/vm"
)

// Module returns the parts of an entry VM's daemon. Start listens and begins to follow the platform
// and the peers; Stop is the planned stop.
func Module(opts Options) fx.Option {
	return fx.Options(
		fx.Supply(opts, opts.Settings),
		fx.Provide(
			provideIdentity, provideListeners, provideLogger, provideTracer, provideRegistry, provideMetrics,
			providePlatform, provideZoneList, provideDirectory, providePeerPool, provideReviewLog,
			provideBook, newLags, newRooms, newPools, newFlows, provideLeaders, newLinks, providePeers, provideContacts,
			provideFollower, provideDomains, provideTable, provideLookups, provideTopology,
			providePlacer, newPlanServer, provideJournal, provideHandler, provideExchanger, provideSelfState,
			provideAdmin, newServers, newDaemon,
		),
		fx.Invoke(func(*Daemon) {}),
		// The longest planned stop is the daemon's own limit; fx must not cut it short.
		fx.StopTimeout(opts.Settings.Limits.DrainTimeout.Std()+stopMargin),
	)
}

// stopMargin is the time that a planned stop has beyond its drain.
const stopMargin = 10 * time.Second

func provideIdentity(s *steering.Settings) Identity { return newIdentity(s, time.Now()) }

func provideLogger(s *steering.Settings, opts Options) (*logrus.Logger, logrus.FieldLogger, error) {
	out := opts.LogTo
	if out == nil {
		out = os.Stderr
	}
	logger, err := telemetry.NewLogger(s.Telemetry, out)
	if err != nil {
		return nil, nil, err
	}
	return logger, logger.WithField("vm", s.VM.Name), nil
}

func provideTracer(lc fx.Lifecycle, s *steering.Settings, self Identity) (trace.Tracer, error) {
	provider, shutdown, err := telemetry.NewTracerProvider(context.Background(), s.Telemetry, telemetry.Identity{
		Deployment: s.Deployment, VM: self.Name, Incarnation: self.Incarnation, Region: self.Region, Zone: self.Zone,
	})
	if err != nil {
		return nil, err
	}
	lc.Append(fx.StopHook(func(ctx context.Context) error { return shutdown(ctx) }))
	return provider.Tracer("azureflow"), nil
}

func provideRegistry() *prometheus.Registry { return telemetry.NewRegistry() }

func provideMetrics(r *prometheus.Registry) *telemetry.Metrics { return telemetry.NewMetrics(r) }

func providePlatform(s *steering.Settings, opts Options) (refplatform.Store, refplatform.VMList) {
	c := refplatform.NewClient(refplatform.ClientOptions{
		StoreURL:  s.Platform.Store,
		VMListURL: s.Platform.VMList,
		Name:      s.VM.Name,
		Transport: platformTransport(opts.Dial),
	})
	return c, c
}

func provideDirectory(s *steering.Settings, self Identity, l *Listeners) *vm.Directory {
	return vm.NewDirectory(vm.VM{
		Name: self.Name, Kind: vm.KindEntry, Region: self.Region, Zone: self.Zone, State: vm.StateLive,
		Address: l.Requests.Addr().String(), PeerAddress: l.Peer.Addr().String(), AdminAddress: l.Admin.Addr().String(),
	}, vm.DirectoryOptions{})
}

func provideLeaders(self Identity) *vm.Leaders { return vm.NewLeaders(self.Name) }

func providePeerPool(opts Options) *peer.Pool { return peer.NewPool(peerDialer(opts.Dial)) }

func provideReviewLog(s *steering.Settings, self Identity, m *telemetry.Metrics, log logrus.FieldLogger) (*review.Log, review.Recorder) {
	l := review.NewLog(review.LogOptions{
		Self:        self.Name,
		Incarnation: self.Incarnation,
		Capacity:    s.Limits.RecordsInMemory,
		Logger:      log,
		Metrics:     m,
	})
	return l, l
}

func provideBook(self Identity) *contract.SlotPool {
	return contract.NewSlotPool(contract.SlotPoolOptions{Self: self.Name, Incarnation: self.Incarnation, Zone: self.Zone})
}

func providePeers(self Identity, d *vm.Directory, l *vm.Leaders, pool *peer.Pool) *peers {
	return &peers{self: self, directory: d, leaders: l, pool: pool}
}

func provideTable() *region.Table { return region.NewTable() }

func provideLookups(self Identity, l *Listeners) *lookup.Table {
	// Callers stay in their region unless a VM there would carry more than this multiple of the mean:
	// links are narrower than VMs.
	const spread = 1.25
	return lookup.NewTable(lookup.Options{
		MaxLoadRatio: spread,
		Self: lookup.VMView{
			Name: self.Name, Incarnation: self.Incarnation, Zone: self.Zone, Address: l.Requests.Addr().String(),
		},
	})
}

func provideTopology(
	self Identity, f *steering.Follower, d *vm.Directory, pools *pools, domains *domains, links *links, book *contract.SlotPool,
	flows *flows, rooms *rooms, table *region.Table, lookups *lookup.Table, recorder review.Recorder, log logrus.FieldLogger, p *peers,
	lags *lags,
) *topology {
	return &topology{
		self: self, lags: lags, config: f.Current, directory: d, pools: pools, domains: domains, links: links, book: book,
		flows: flows, rooms: rooms, table: table, lookups: lookups, recorder: recorder, log: log,
		planner:  region.NewPlanner(region.PlannerOptions{}),
		first:    &firstPlans{self: self, fetch: p.fetchPlans},
		recorded: make(map[steering.ServiceName]time.Time),
		changed:  make(chan struct{}, 1),
	}
}

func providePlacer(
	self Identity, f *steering.Follower, table *region.Table, book *contract.SlotPool, pools *pools, rooms *rooms, flows *flows,
) *placer {
	return &placer{self: self, config: f.Current, table: table, book: book, pools: pools, rooms: rooms, flows: flows}
}

func provideJournal(self Identity) *request.Journal {
	return request.NewJournal(request.JournalOptions{Self: self.Name, Incarnation: self.Incarnation})
}

func provideHandler(
	s *steering.Settings, opts Options, self Identity, f *steering.Follower, p *placer, j *request.Journal, links *links,
	peers *peers, recorder review.Recorder, m *telemetry.Metrics, tracer trace.Tracer,
) *request.Handler {
	return request.NewHandler(request.HandlerOptions{
		Config:   f.Current,
		Placer:   p,
		Recorder: recorder,
		Self: request.Identity{
			Name: self.Name, Incarnation: self.Incarnation, Region: self.Region, Zone: self.Zone,
		},
		Transport: request.NewTransport(request.TransportOptions{
			ConnsPerServer: s.Limits.ConnsPerServer,
			SilentAfter:    s.Limits.SilentAfter.Std(),
			Dial:           opts.Dial,
		}),
		Journal: j,
		Peers:   peers,
		Limits:  s.Limits,
		Metrics: requestMetrics{m},
		Tracer:  tracer,
		Pacer:   links,
		Policy:  opts.Policies.Admission,
	})
}

func provideContacts(opts Options) *contacts { return newContacts(reportSource(opts.Dial)) }

func providePoller(c *contacts, p *pools) *upstream.Poller {
	return upstream.NewPoller(upstream.PollerOptions{Pools: p.list, Source: c})
}
