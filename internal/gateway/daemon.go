package gateway

import (
	"context"
	"net"
	"net/http"
	"reflect"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/azureflow/azureflow/internal/clock"
	"github.com/azureflow/azureflow/internal/drain"
	"github.com/azureflow/azureflow/internal/forward"
	"github.com/azureflow/azureflow/internal/request"
)

// Times of a planned stop, counted from its beginning.
const (
	stopAccept = 2500 * time.Millisecond // callers with older directory answers are served until then
	stopQuiet  = 500 * time.Millisecond  // without a byte from callers, unused connections are closed; several times the delay between regions
	stopMargin = 300 * time.Millisecond  // before the kill
	stopFlush  = 200 * time.Millisecond  // of that, for the answers to requests that are broken off
	stopPoll   = 20 * time.Millisecond
)

const (
	sweepInterval  = time.Second
	silentAfter    = time.Second // sent bytes without acknowledgement break a connection
	maxHeaderBytes = 64 << 10    // above what any configuration allows so far
	serverIdle     = time.Minute
	headerTimeout  = 10 * time.Second
)

// daemon is the running gateway of an entry VM.
type daemon struct {
	opts     Options
	settings *Settings
	catalog  *Catalog
	follower *follower
	presence *presence
	handler  *forward.Handler
	pool     *forward.Pool
	sharing  *sharing
	store    *countedStore
	registry *prometheus.Registry
	log      logrus.FieldLogger

	stop     context.CancelFunc
	absent   context.CancelFunc // ends the announcement in the directory
	loops    sync.WaitGroup
	requests *drain.Server   // of callers; nil if none are served
	others   []*drain.Server // readiness, directory, metrics
}

func (d *daemon) start(context.Context) error {
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	present, absent := context.WithCancel(ctx)
	d.absent = absent
	d.loops.Go(func() { d.follower.watchOperator(ctx) })
	d.loops.Go(func() { d.follower.pollOperator(ctx) })
	d.loops.Go(func() { d.follower.pollServers(ctx) })
	d.loops.Go(func() { d.announce(present) })
	d.loops.Go(func() { d.presence.follow(ctx) })
	d.loops.Go(func() { d.sweep(ctx) })
	d.loops.Go(func() { d.store.run(ctx) })
	d.loops.Go(func() { d.reload(ctx) })
	d.log.WithFields(logrus.Fields{
		"region": d.settings.Region, "zone": d.settings.Zone, "store": d.settings.StoreAddress,
	}).Info("started")
	if err := d.listenPeers(ctx); err != nil {
		return err
	}
	return d.listen(ctx)
}

func (d *daemon) listenPeers(ctx context.Context) error {
	listener, err := request.ListenConfig(silentAfter).Listen(ctx, "tcp", d.presence.self.Peer)
	if err != nil {
		return err
	}
	d.loops.Go(func() { d.sharing.serve(ctx, listener) })
	d.loops.Go(func() { d.sharing.run(ctx) })
	return nil
}

// announce lists this entry VM once it can serve.
func (d *daemon) announce(ctx context.Context) {
	for !d.follower.Ready() {
		if clock.Sleep(ctx, stopPoll) != nil {
			return
		}
	}
	d.presence.serves.Store(true)
	d.presence.announce(ctx)
}

func (d *daemon) sweep(ctx context.Context) {
	for clock.Sleep(ctx, sweepInterval) == nil {
		d.pool.CloseExpired(time.Now())
	}
}

// settingsCheck is the time between two looks at the settings, which may change without a signal.
const settingsCheck = 5 * time.Second

// reload takes up changed settings: bounds and zones; addresses need a restart.
func (d *daemon) reload(ctx context.Context) {
	if d.opts.Reload == nil {
		return
	}
	tick := time.NewTicker(settingsCheck)
	defer tick.Stop()
	current := *d.settings
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.opts.ReloadSignals:
		case <-tick.C:
		}
		s, err := d.opts.Reload()
		if err != nil {
			d.log.WithFields(logrus.Fields{"error": err.Error()}).Warn("settings not reloaded")
			continue
		}
		if reflect.DeepEqual(*s, current) {
			continue
		}
		current = *s
		d.presence.chooser.SetOptions(s.placementOptions())
		d.follower.setSettings(s)
		d.log.Info("settings reloaded")
	}
}

func (d *daemon) listen(ctx context.Context) error {
	metrics := http.NewServeMux()
	metrics.Handle("/metrics", promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{}))
	listen := &d.settings.Listen
	for _, l := range []struct {
		address string
		handler http.Handler
	}{
		{listen.Requests, d.handler},
		{listen.Readiness, d.catalog.Readiness(d.ready)},
		{listen.Directory, d.catalog.Directory(d.presence.Lookup)},
		{net.JoinHostPort(d.settings.IP, metricsPort), metrics},
	} {
		if l.address == "" {
			continue
		}
		server, err := d.serve(ctx, l.address, l.handler)
		if err != nil {
			return err
		}
		if l.address == listen.Requests {
			d.requests = server
		} else {
			d.others = append(d.others, server)
		}
	}
	return nil
}

// metricsPort is where the metrics are served, at /metrics.
const metricsPort = "9464"

func (d *daemon) serve(ctx context.Context, address string, handler http.Handler) (*drain.Server, error) {
	listener, err := request.ListenConfig(silentAfter).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	server := drain.New(listener, &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: serverIdle, MaxHeaderBytes: maxHeaderBytes,
	})
	d.loops.Go(func() {
		if err := server.Serve(); err != nil {
			d.log.WithFields(logrus.Fields{"address": address, "error": err.Error()}).Error("listener ended")
		}
	})
	return server, nil
}

func (d *daemon) ready() bool { return !d.presence.leaves.Load() && d.follower.Ready() }

// end is the planned stop: this entry VM leaves the directory and serves what comes until callers know. Then it
// passes nothing more on, since what comes now could not end before the kill: it refuses new connections, and requests on
// those that are open. It ends once callers use them no more and nothing is in flight.
func (d *daemon) end(context.Context) error {
	begun := time.Now()
	d.log.Info("stopping")
	d.presence.leave()
	d.handler.DisableKeepAlives()
	d.absent()
	time.Sleep(stopAccept)
	d.handler.RefuseNewRequests()
	kill := begun.Add(d.settings.Bounds.Grace)
	if d.requests != nil {
		d.endRequests(kill)
	}
	for _, other := range d.others {
		other.StopAccepting()
		drainUntil(other, kill.Add(stopFlush-stopMargin), 0)
		other.Close()
	}
	d.stop()
	d.log.WithFields(logrus.Fields{"took_ms": time.Since(begun).Milliseconds()}).Info("stopped")
	return nil
}

// endRequests answers what callers still send and closes their connections before kill.
func (d *daemon) endRequests(kill time.Time) {
	defer d.requests.Close()
	d.requests.StopAccepting()
	if drainUntil(d.requests, kill.Add(-stopMargin), stopQuiet) {
		return
	}
	d.log.WithFields(logrus.Fields{"in_flight": d.handler.InFlight()}).Warn("requests broken off by the stop")
	// A connection that is closed without a word leaves its caller in doubt.
	d.handler.AbortInFlight()
	if !drainUntil(d.requests, kill.Add(stopFlush-stopMargin), 0) {
		d.log.WithFields(logrus.Fields{"in_flight": d.handler.InFlight()}).Warn("requests cut off by the stop")
	}
}

func drainUntil(s *drain.Server, until time.Time, quiet time.Duration) bool {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	return s.Drain(ctx, quiet)
}

// StopTimeout returns how long a planned stop may take.
func (s *Settings) StopTimeout() time.Duration { return s.Bounds.Grace + time.Second }

func newDaemon(lc fx.Lifecycle, d *daemon) {
	lc.Append(fx.Hook{OnStart: d.start, OnStop: d.end})
}
