package gateway

import (
	"context"
	"io"
	"net"
	"os"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/azureflow/azureflow/internal/forward"
	"github.com/azureflow/azureflow/internal/httpserver"
	"github.com/azureflow/azureflow/internal/kv"
	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/placement"
	"github.com/azureflow/azureflow/internal/request"
	"github.com/azureflow/azureflow/internal/socket"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/telemetry"
)

// Options holds the inputs of Module.
type Options struct {
	Settings      *Settings
	Catalog       *Catalog
	LogWriter     io.Writer
	ReloadSignals <-chan os.Signal          // each means that the settings may have changed; nil: there are none
	Reload        func() (*Settings, error) // reads the settings again; nil: they do not change
}

// Module returns the components of a gateway. Start opens its listeners and starts following the store; Stop performs
// the planned stop.
func Module(opts Options) fx.Option {
	return fx.Options(
		fx.Supply(opts.Settings, opts.Catalog, opts),
		fx.Provide(
			provideLogger, provideCountedStore, provideStore, provideChooser, provideWatch, newFollower, newPresence, newSharing, prometheus.NewRegistry,
			provideMetrics, newStateCollector, newJournal, providePeers, providePool, provideHandler, provideDaemon,
			newQuotaMetrics, newQuotas, newClosures, provideLimits,
		),
		fx.Invoke(registerState, registerWatch, registerQuotas, applyMemoryLimit, newDaemon),
		fx.StopTimeout(opts.Settings.StopTimeout()),
	)
}

func provideLogger(opts Options) (logrus.FieldLogger, error) {
	logger, err := telemetry.NewLogger(steering.TelemetrySettings{}, opts.LogWriter)
	if err != nil {
		return nil, err
	}
	return logger.WithField("vm", opts.Settings.Name), nil
}

func provideCountedStore(s *Settings, c *Catalog, m *Metrics, log logrus.FieldLogger) *countedStore {
	return newCountedStore(c.OpenStore(s.StoreAddress), m, log)
}

func provideStore(s *countedStore) kv.StaleReader { return s }

func provideChooser(s *Settings) *placement.Chooser {
	return placement.NewChooser(s.placementOptions())
}

func provideMetrics(r *prometheus.Registry) *Metrics { return NewMetrics(r) }

func registerState(r *prometheus.Registry, s *stateCollector) error { return r.Register(s) }

func providePeers() *peer.Pool { return peer.NewPool(nil) }

func provideWatch() *socket.Watch { return socket.NewWatch(tcpUserTimeout) }

func registerWatch(r *prometheus.Registry, w *socket.Watch) error {
	for _, c := range []struct {
		name, help string
		value      func() uint64
	}{
		{"closed_window_waits_total", "Times that a caller or server that does not read was waited for beyond the limit for unacknowledged bytes.", w.Waits},
		{"closed_window_ends_total", "Connections closed since a caller or server that did not read answered no probe.", w.Ends},
	} {
		counter := prometheus.NewCounterFunc(
			prometheus.CounterOpts{Namespace: "azureflow", Subsystem: "gateway", Name: c.name, Help: c.help},
			func() float64 { return float64(c.value()) },
		)
		if err := r.Register(counter); err != nil {
			return err
		}
	}
	return nil
}

func providePool(watch *socket.Watch) *forward.Pool { return forward.NewPool(serverDialer(watch)) }

// serverDialer returns the dialer for connections to servers, which are watched.
func serverDialer(watch *socket.Watch) func(ctx context.Context, address string) (net.Conn, error) {
	dial := request.NewAddressDialer(tcpUserTimeout)
	return func(ctx context.Context, address string) (net.Conn, error) {
		c, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return watch.Conn(c), nil
	}
}

func provideHandler(
	s *Settings, c *Catalog, f *follower, chooser *placement.Chooser, pool *forward.Pool, j *journal, q *quotas,
) *forward.Handler {
	return forward.NewHandler(forward.Options{
		Headers: c.Headers, Table: f.Table, Chooser: chooser, Pool: pool, Journal: j, Region: s.Region,
		KeysConfirmed: f.keysConfirmed,
		Quotas:        q,
	})
}

func provideDaemon(
	opts Options, s *Settings, c *Catalog, f *follower, p *presence, h *forward.Handler, pool *forward.Pool, sharing *sharing,
	store *countedStore, registry *prometheus.Registry, log logrus.FieldLogger, q *quotas, closures *closures,
	limits *httpserver.Limits, watch *socket.Watch,
) *daemon {
	sharing.quotaHome = q.home
	return &daemon{
		quotas: q, opts: opts, settings: s, catalog: c, follower: f, presence: p, handler: h, pool: pool, sharing: sharing, store: store, registry: registry, log: log,
		closures: closures, limits: limits, watch: watch,
	}
}
