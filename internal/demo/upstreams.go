package demo

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/azureflow/azureflow/internal/standin"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// upstreamVM is a running upstream stand-in.
type upstreamVM struct {
	row     vm.VM
	standin *standin.Upstream
	server  *http.Server
}

// gauge counts the requests at the servers of a service in a region.
type gauge struct {
	region   steering.RegionName
	service  steering.ServiceName
	capacity int // slots
	now      atomic.Int64
	peak     atomic.Int64
}

// wrap counts the requests that handler serves; reports do not count.
func (g *gauge) wrap(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/load" || r.URL.Path == "/healthz" {
			handler.ServeHTTP(w, r)
			return
		}
		n := g.now.Add(1)
		defer g.now.Add(-1)
		for {
			peak := g.peak.Load()
			if n <= peak || g.peak.CompareAndSwap(peak, n) {
				break
			}
		}
		handler.ServeHTTP(w, r)
	})
}

// startUpstreams spreads the servers of every service over the zones and registers them.
func (w *world) startUpstreams() error {
	zones := w.deployment.entries[:len(w.deployment.entries)-1]
	for _, size := range w.deployment.servers {
		gauges := make(map[steering.RegionName]*gauge)
		for i := range size.servers {
			zone := zones[i%len(zones)]
			region := w.deployment.config.Platform.RegionOf(zone)
			g := gauges[region]
			if g == nil {
				g = &gauge{region: region, service: size.service}
				gauges[region] = g
				w.gauges = append(w.gauges, g)
			}
			g.capacity += size.slots
			if err := w.startUpstream(size, i, zone, g); err != nil {
				return err
			}
		}
	}
	return nil
}

func (w *world) startUpstream(size serverSize, i int, zone steering.ZoneName, g *gauge) error {
	const reportLag = time.Second
	name := fmt.Sprintf("%s-%d", size.service, i+1)
	u := standin.NewUpstream(standin.UpstreamOptions{
		Name: name, Service: size.service, Region: g.region, Zone: zone, Slots: size.slots,
		Seed: w.opts.Seed + uint64(i), ReportLag: reportLag,
	})
	listener, err := w.listen(place{region: g.region, zone: zone, host: name})
	if err != nil {
		return err
	}
	server := &http.Server{Handler: g.wrap(u.Handler()), ErrorLog: discard()}
	go func() { _ = server.Serve(listener) }()
	row := vm.VM{
		Name: vm.Name(name), Kind: vm.KindUpstream, Region: g.region, Zone: zone, Address: listener.Addr().String(),
		Service: size.service, Slots: size.slots, State: vm.StateLive, Since: time.Now().Add(-time.Hour), // warm
	}
	w.platform.PutVM(row)
	w.upstreams = append(w.upstreams, &upstreamVM{row: row, standin: u, server: server})
	return nil
}
