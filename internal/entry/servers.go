package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"

	"github.com/azureflow/azureflow/internal/httpserver"
	"github.com/azureflow/azureflow/internal/lookup"
	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/request"
	"github.com/azureflow/azureflow/internal/review"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/telemetry"
	"github.com/azureflow/azureflow/internal/vm"
)

const (
	readHeaderTimeout = 5 * time.Second
	callerIdleTimeout = 2 * time.Minute // of a caller's connection
)

// gatewayCalls refuses the calls that only gateways serve to each other. Its methods stand one level below the
// other parts of a peerService, which go first.
type gatewayCalls struct {
	*peer.DRPCPeerUnimplementedServer
}

// peerService is what this VM answers to other entry VMs, joined from the parts that answer.
type peerService struct {
	gatewayCalls
	exchange
	*steering.Follower
	*zoneList
	*domains
	*request.Journal
	*review.Log
	*rateLender
	*planServer
}

// rateLender keeps the rest of the methods of links out of peerService.
type rateLender struct{ links *links }

// AskRates implements peer.DRPCPeerServer.
func (r *rateLender) AskRates(ctx context.Context, req *peer.AskRatesRequest) (*peer.AskRatesReply, error) {
	return r.links.AskRates(ctx, req)
}

// exchange keeps the rest of the Exchanger's methods out of peerService.
type exchange struct{ exchanger *vm.Exchanger }

// Exchange implements peer.DRPCPeerServer.
func (e exchange) Exchange(ctx context.Context, req *peer.ExchangeRequest) (*peer.ExchangeReply, error) {
	return e.exchanger.Exchange(ctx, req)
}

var _ peer.DRPCPeerServer = peerService{}

// servers are the three servers of a daemon.
type servers struct {
	listeners *Listeners
	requests  *httpserver.Server
	admin     *http.Server
	peers     peer.DRPCPeerServer
	log       logrus.FieldLogger
}

func newServers(
	l *Listeners, h *request.Handler, table *lookup.Table, recorder review.Recorder, m *telemetry.Metrics, admin adminHandler,
	x *vm.Exchanger, f *steering.Follower, list *zoneList, d *domains, j *request.Journal, records *review.Log, links *links, plans *planServer,
	log logrus.FieldLogger,
) *servers {
	lookups := lookup.NewHandler(lookup.HandlerOptions{
		Table: table, Recorder: recorder, Metrics: m,
		HasService: func(service steering.ServiceName) bool {
			cfg := f.Current()
			return cfg == nil || cfg.ServiceByName(service) != nil
		},
	})
	s := &servers{
		listeners: l,
		requests: httpserver.New(l.Requests, httpserver.Options{
			Handler: callerRoutes(lookups, h), HeadTimeout: readHeaderTimeout, IdleTimeout: callerIdleTimeout, Log: log,
		}),
		admin: &http.Server{Handler: admin, ReadHeaderTimeout: readHeaderTimeout},
		peers: peerService{
			exchange: exchange{x}, Follower: f, zoneList: list, domains: d, Journal: j, Log: records,
			rateLender: &rateLender{links}, planServer: plans,
		},
		log: log,
	}
	return s
}

// quiesce refuses new connections of callers and serves what still arrives on those that are open, until none
// is left or ctx ends.
func (s *servers) quiesce(ctx context.Context) {
	const quiet = time.Second // without a byte, callers use the connections no more; several times the delay between regions
	s.requests.StopAccepting()
	s.requests.Drain(ctx, quiet)
}

// callerRoutes sends lookups to their handler and everything else to the path of a request.
func callerRoutes(lookups, requests http.Handler) http.Handler {
	r := mux.NewRouter().SkipClean(true).UseEncodedPath()
	r.Handle(lookup.Path, lookups)
	r.NotFoundHandler = requests
	r.MethodNotAllowedHandler = requests
	return r
}

// start serves until ctx ends (peers) or the HTTP servers are shut down.
func (s *servers) start(ctx context.Context) {
	go func() { s.ended("requests", s.requests.Serve()) }()
	s.admin.ErrorLog = discardLog()
	go func() { s.ended("admin", s.admin.Serve(s.listeners.Admin)) }()
	go func() {
		err := peer.Serve(ctx, s.listeners.Peer, s.peers)
		if err != nil && ctx.Err() == nil {
			s.log.WithFields(logrus.Fields{"server": "peer", "reason": err.Error()}).Error("server_failed")
		}
	}()
}

// ended logs why a server ended, unless it was stopped.
func (s *servers) ended(name string, err error) {
	if err == nil || errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return
	}
	s.log.WithFields(logrus.Fields{"server": name, "reason": err.Error()}).Error("server_failed")
}
