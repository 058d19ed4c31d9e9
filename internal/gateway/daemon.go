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
	"github.com/azureflow/azureflow/internal/forward"
	"github.com/azureflow/azureflow/internal/httpserver"
	"github.com/azureflow/azureflow/internal/request"
	"github.com/azureflow/azureflow/internal/socket"
)

// Times of a planned stop, counted from its start.
const (
	stopRefuseAfter = 2500 * time.Millisecond // until then requests are served: callers may hold older lookup results
	// Without a byte from callers for stopIdle, unused connections are closed. It is several times the delay between
	// regions.
	stopIdle          = 500 * time.Millisecond
	stopMargin        = 300 * time.Millisecond // from the end of draining to the kill
	stopFlush         = 200 * time.Millisecond // part of stopMargin in which the responses to aborted requests are sent
	readyPollInterval = 20 * time.Millisecond
)

const (
	sweepInterval  = time.Second
	tcpUserTimeout = time.Second // a connection is closed if sent bytes stay unacknowledged for this long
)

// Limits on callers while no configuration sets them.
const (
	maxHeaderBytes = 64 << 10 // larger than any configuration allows so far
	idleTimeout    = time.Minute
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
	quotas   *quotas
	store    *countedStore
	registry *prometheus.Registry
	log      logrus.FieldLogger
	closures *closures

	stop           context.CancelFunc
	stopAnnouncing context.CancelFunc // ends the listing of this entry VM
	limits         *httpserver.Limits // of all servers
	watch          *socket.Watch      // of connections of callers and to servers
	loops          sync.WaitGroup
	requestServer  *httpserver.Server   // for callers; nil if there is no request listener
	auxServers     []*httpserver.Server // for readiness, directory and metrics
}

func (d *daemon) start(context.Context) error {
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	announceCtx, stopAnnouncing := context.WithCancel(ctx)
	d.stopAnnouncing = stopAnnouncing
	d.loops.Go(func() { d.follower.watchOperator(ctx) })
	d.loops.Go(func() { d.follower.pollOperator(ctx) })
	d.loops.Go(func() { d.follower.pollServers(ctx) })
	d.loops.Go(func() { d.announceWhenReady(announceCtx) })
	d.loops.Go(func() { d.presence.pollList(ctx, d.follower.awaitOwnReads) })
	d.loops.Go(func() { d.quotas.serve(ctx) })
	d.loops.Go(func() { d.sweepPool(ctx) })
	d.loops.Go(func() { d.watch.Run(ctx) })
	d.loops.Go(func() { d.store.run(ctx) })
	d.loops.Go(func() { d.watchSettings(ctx) })
	d.log.WithFields(logrus.Fields{
		"region": d.settings.Region, "zone": d.settings.Zone, "store": d.settings.StoreAddress,
	}).Info("started")
	if err := d.startPeerServer(ctx); err != nil {
		return err
	}
	return d.startServers(ctx)
}

func (d *daemon) startPeerServer(ctx context.Context) error {
	listener, err := request.ListenConfig(tcpUserTimeout).Listen(ctx, "tcp", d.presence.self.Peer)
	if err != nil {
		return err
	}
	listener = limitConns(listener, d.settings.maxPeerConns(), d.closures.record)
	d.loops.Go(func() { d.sharing.servePeers(ctx, listener) })
	d.loops.Go(func() { d.sharing.run(ctx) })
	return nil
}

// announceWhenReady lists this entry VM in the store once it can serve.
func (d *daemon) announceWhenReady(ctx context.Context) {
	for !d.follower.Ready() {
		if clock.Sleep(ctx, readyPollInterval) != nil {
			return
		}
	}
	d.presence.canServe.Store(true)
	d.quotas.useIfLimited(d.follower.Table())
	d.presence.keepListed(ctx)
}

func (d *daemon) sweepPool(ctx context.Context) {
	for clock.Sleep(ctx, sweepInterval) == nil {
		d.pool.CloseExpired(time.Now())
		d.limits.Sweep(time.Now())
	}
}

// settingsCheckInterval is the time between two checks of the settings, which may change without a signal.
const settingsCheckInterval = 5 * time.Second

// watchSettings applies changed bounds and zones; changed addresses need a restart.
func (d *daemon) watchSettings(ctx context.Context) {
	if d.opts.Reload == nil {
		return
	}
	tick := time.NewTicker(settingsCheckInterval)
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
		d.quotas.bounds.Store(&s.Bounds.Quota)
		d.log.Info("settings reloaded")
	}
}

func (d *daemon) startServers(ctx context.Context) error {
	metrics := http.NewServeMux()
	metrics.Handle("/metrics", promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{}))
	metrics.HandleFunc("GET "+WherePath, d.serveWhere)
	listen := &d.settings.Listen
	for _, l := range []struct {
		address   string
		handler   http.Handler
		runsAhead func(*http.Request) bool
	}{
		{listen.Requests, d.handler, d.handler.IsIdempotent},
		{listen.Readiness, d.catalog.Readiness(d.isReady), nil},
		{listen.Directory, d.catalog.Directory(d.presence.Lookup), nil},
		{net.JoinHostPort(d.settings.IP, metricsPort), metrics, nil},
	} {
		if l.address == "" {
			continue
		}
		server, err := d.startServer(ctx, l.address, l.handler, l.runsAhead)
		if err != nil {
			return err
		}
		if l.address == listen.Requests {
			d.requestServer = server
		} else {
			d.auxServers = append(d.auxServers, server)
		}
	}
	return nil
}

// metricsPort is the port that serves /metrics and WherePath.
const metricsPort = "9464"

func (d *daemon) startServer(
	ctx context.Context, address string, handler http.Handler, runsAhead func(*http.Request) bool,
) (*httpserver.Server, error) {
	listener, err := request.ListenConfig(tcpUserTimeout).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	server := httpserver.New(d.watch.Listener(listener), httpserver.Options{
		Handler: handler, RunsAhead: runsAhead, HeadTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeadBytes: maxHeaderBytes, Log: d.log, Limits: d.limits, CallerLimits: d.callerLimits,
	})
	d.loops.Go(func() {
		if err := server.Serve(); err != nil {
			d.log.WithFields(logrus.Fields{"address": address, "error": err.Error()}).Error("listener ended")
		}
	})
	return server, nil
}

func (d *daemon) isReady() bool { return !d.presence.isLeaving.Load() && d.follower.Ready() }

// shutDown performs the planned stop. This entry VM leaves the directory and serves requests until callers have learned
// of that. Then it forwards nothing more, since a request that comes now could not end before the kill: it refuses new
// connections, and requests on open ones. It returns once callers no longer use those and nothing is in flight.
func (d *daemon) shutDown(context.Context) error {
	startedAt := time.Now()
	d.log.Info("stopping")
	d.presence.setLeaving()
	d.handler.DisableKeepAlives()
	d.stopAnnouncing()
	time.Sleep(stopRefuseAfter)
	d.handler.RefuseNewRequests()
	killAt := startedAt.Add(d.settings.Bounds.Grace)
	if d.requestServer != nil {
		d.drainRequests(killAt)
	}
	for _, server := range d.auxServers {
		server.StopAccepting()
		drainUntil(server, killAt.Add(stopFlush-stopMargin), 0)
		server.Close()
	}
	d.stop()
	d.log.WithFields(logrus.Fields{"took_ms": time.Since(startedAt).Milliseconds()}).Info("stopped")
	return nil
}

// drainRequests responds to the requests that callers still send, and closes their connections before killAt.
func (d *daemon) drainRequests(killAt time.Time) {
	defer d.requestServer.Close()
	d.requestServer.StopAccepting()
	if drainUntil(d.requestServer, killAt.Add(-stopMargin), stopIdle) {
		return
	}
	d.log.WithFields(logrus.Fields{"in_flight": d.handler.InFlight()}).Warn("requests broken off by the stop")
	// A caller whose connection is closed without a response does not know what became of its request.
	d.handler.AbortInFlight()
	if !drainUntil(d.requestServer, killAt.Add(stopFlush-stopMargin), 0) {
		d.log.WithFields(logrus.Fields{"in_flight": d.handler.InFlight()}).Warn("requests cut off by the stop")
	}
}

func drainUntil(s *httpserver.Server, until time.Time, idle time.Duration) bool {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	return s.Drain(ctx, idle)
}

// StopTimeout returns the time limit of a planned stop.
func (s *Settings) StopTimeout() time.Duration { return s.Bounds.Grace + time.Second }

func newDaemon(lc fx.Lifecycle, d *daemon) {
	lc.Append(fx.Hook{OnStart: d.start, OnStop: d.shutDown})
}
