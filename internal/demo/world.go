package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/fx"

	"github.com/azureflow/azureflow/internal/admin"
	"github.com/azureflow/azureflow/internal/entry"
	"github.com/azureflow/azureflow/internal/refplatform"
	"github.com/azureflow/azureflow/internal/standin"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

const (
	startTimeout = 15 * time.Second
	readyPoll    = 20 * time.Millisecond
	// startGap lies between the starts of two entry VMs. In virtual time VMs that start at one instant race for their
	// zone's leadership in the order of the Go scheduler.
	startGap = 40 * time.Millisecond // seven start within the 0.3 s of the platform's page on machines
)

// NotReadyError reports an entry VM that did not take up the configuration in time.
type NotReadyError struct{ VM vm.Name }

// Error implements error.
func (e *NotReadyError) Error() string { return "entry VM " + string(e.VM) + " is not ready" }

// world is a running deployment: platform, upstreams and entry VMs in this process.
type world struct {
	opts       Options
	deployment *deployment
	network    *network
	platform   *standin.Platform
	platformAt string // URL
	home       place  // of the platform's store
	upstreams  []*upstreamVM
	entries    []*entryVM
	gauges     []*gauge
	hosts      atomic.Uint32 // loopback addresses given out
	drained    atomic.Int64  // longest planned stop, nanoseconds
	closers    []io.Closer
}

// entryVM is a running entry VM.
type entryVM struct {
	row     vm.VM
	app     *fx.App
	daemon  *entry.Daemon
	stopped bool
}

func discard() *log.Logger { return log.New(io.Discard, "", 0) }

// listen opens a port on a loopback address of its own that stands at p.
func (w *world) listen(p place) (net.Listener, error) {
	const hostsPerNet = 250
	n := w.hosts.Add(1)
	host := fmt.Sprintf("127.0.%d.%d", 1+n/hostsPerNet, 1+n%hostsPerNet)
	if p.host == "" {
		p.host = host
	}
	l, err := w.network.wires.listen(host + ":0")
	if err != nil {
		return nil, err
	}
	w.network.put(l.Addr().String(), p)
	return l, nil
}

// start brings the deployment up, publishes its steering files and waits until all entry VMs serve.
func startWorld(ctx context.Context, opts Options, d *deployment, t transport) (*world, error) {
	w := &world{opts: opts, deployment: d}
	p := &d.config.Platform
	w.network = newNetwork(p, delays{zones: p.ZoneDelay.Std(), callers: p.ClientDelay.Std()}, t)
	w.home = place{region: p.Regions[0].Name, zone: p.Regions[0].Zones[0]}
	for _, step := range []func() error{w.startPlatform, w.startUpstreams, w.startEntries} {
		if err := step(); err != nil {
			w.stop()
			return nil, err
		}
	}
	if err := w.publish(ctx); err != nil {
		w.stop()
		return nil, err
	}
	return w, nil
}

func (w *world) startPlatform() error {
	const listLag = 500 * time.Millisecond
	w.platform = standin.NewPlatform(standin.PlatformOptions{VMListLag: listLag})
	at := w.home
	at.host = "platform"
	listener, err := w.listen(at)
	if err != nil {
		return err
	}
	w.platformAt = "http://" + listener.Addr().String()
	server := &http.Server{Handler: w.platform.Handler(), ErrorLog: discard()}
	go func() { _ = server.Serve(listener) }()
	w.closers = append(w.closers, server)
	return nil
}

func (w *world) startEntries() error {
	for i, zone := range w.deployment.entries {
		if i > 0 {
			time.Sleep(startGap)
		}
		if err := w.startEntry(i, zone); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) startEntry(i int, zone steering.ZoneName) error {
	at := place{region: w.deployment.config.Platform.RegionOf(zone), zone: zone, host: fmt.Sprintf("entry-%d", i+1)}
	var l entry.Listeners
	for _, into := range []*net.Listener{&l.Requests, &l.Peer, &l.Admin} {
		opened, err := w.listen(at)
		if err != nil {
			return err
		}
		*into = opened
	}
	settings := w.settings(i, at, &l)
	e := &entryVM{row: vm.VM{
		Name: vm.Name(settings.VM.Name), Kind: vm.KindEntry, Region: at.region, Zone: at.zone, State: vm.StateLive,
		Address: settings.Listen.Requests, PeerAddress: settings.Listen.Peer, AdminAddress: settings.Listen.Admin, Since: time.Now(),
	}}
	w.platform.PutVM(e.row)
	e.app = fx.New(entry.Module(entry.Options{
		Settings: settings, Listeners: &l, Dial: w.network.dialer(at), LogTo: w.opts.Log, Policies: w.opts.Policies,
	}), fx.Populate(&e.daemon), fx.NopLogger)
	if err := e.app.Err(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := e.app.Start(ctx); err != nil {
		return err
	}
	w.entries = append(w.entries, e)
	return nil
}

func (w *world) settings(i int, at place, l *entry.Listeners) *steering.Settings {
	s := steering.DefaultSettings()
	s.Deployment = w.deployment.name
	s.VM = steering.VMSettings{Name: fmt.Sprintf("entry-%d", i+1), Region: at.region, Zone: at.zone}
	s.Listen = steering.ListenSettings{
		Requests: l.Requests.Addr().String(), Peer: l.Peer.Addr().String(), Admin: l.Admin.Addr().String(),
	}
	s.Platform = steering.PlatformSettings{Store: w.platformAt, VMList: w.platformAt}
	s.Telemetry.LogLevel = "warning"
	return s
}

// publish puts the steering files in force and waits until every entry VM serves.
func (w *world) publish(ctx context.Context) error {
	if _, err := w.publishTree(ctx, w.deployment.tree); err != nil {
		return err
	}
	operator := w.operator()
	defer operator.CloseIdleConnections()
	for _, e := range w.entries {
		if err := e.awaitReady(ctx, operator, len(w.entries)); err != nil {
			return err
		}
	}
	return nil
}

// operator returns the transport of an operator beside the store.
func (w *world) operator() *http.Transport {
	at := w.home
	at.host = "operator"
	return &http.Transport{DialContext: w.network.dialer(at)}
}

// publishTree puts steering files in force and returns the revision.
func (w *world) publishTree(ctx context.Context, tree *steering.Tree) (steering.Revision, error) {
	operator := w.operator()
	defer operator.CloseIdleConnections()
	client := refplatform.NewClient(refplatform.ClientOptions{
		StoreURL: w.platformAt, VMListURL: w.platformAt, Name: "publish", Transport: operator,
	})
	publisher := steering.NewPublisher(steering.PublisherOptions{Store: client})
	result, err := publisher.Publish(ctx, tree, steering.PublishOptions{})
	return result.Revision, err
}

// awaitReady waits until the entry VM serves and knows that all of them live.
func (e *entryVM) awaitReady(ctx context.Context, t *http.Transport, all int) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		if e.ready(ctx, t, all) {
			return nil
		}
		select {
		case <-ctx.Done():
			return &NotReadyError{VM: e.row.Name}
		case <-time.After(readyPoll):
		}
	}
}

func (e *entryVM) ready(ctx context.Context, t *http.Transport, all int) bool {
	var health struct{ Status string }
	var vms admin.Page[admin.VMRow]
	if e.get(ctx, t, "/readyz", &health) != nil || e.get(ctx, t, "/v1/vms", &vms) != nil {
		return false
	}
	live := 0
	for _, row := range vms.Items {
		if row.State == string(vm.Live) {
			live++
		}
	}
	return live == all
}

// get reads a page of the administration API.
func (e *entryVM) get(ctx context.Context, t *http.Transport, page string, into any) error {
	answer, err := e.request(ctx, t, page)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return &NotReadyError{VM: e.row.Name}
	}
	return json.NewDecoder(answer.Body).Decode(into)
}

// request sends a request to the administration API. The caller closes the answer's body.
func (e *entryVM) request(ctx context.Context, t *http.Transport, page string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.row.AdminAddress+page, nil)
	if err != nil {
		return nil, err
	}
	return t.RoundTrip(req)
}

// drain stops an entry VM as planned and returns how long that took.
func (w *world) drain(e *entryVM) time.Duration {
	if e.stopped {
		return 0
	}
	e.stopped = true
	began := time.Now()
	leaving := e.row
	leaving.State = vm.StateLeaving
	w.platform.PutVM(leaving)
	ctx, cancel := context.WithTimeout(context.Background(), e.app.StopTimeout())
	defer cancel()
	_ = e.app.Stop(ctx)
	return time.Since(began)
}

// stop ends everything at once.
func (w *world) stop() {
	done := make(chan struct{}, len(w.entries))
	for _, e := range w.entries {
		go func() {
			w.drain(e)
			done <- struct{}{}
		}()
	}
	for range w.entries {
		<-done
	}
	for _, u := range w.upstreams {
		_ = u.server.Close()
	}
	for _, c := range w.closers {
		_ = c.Close()
	}
	w.network.close()
}
