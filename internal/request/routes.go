package request

import (
	"errors"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/gorilla/mux"

	"github.com/azureflow/azureflow/internal/steering"
)

// route is one operation with the state that is retained across configuration revisions.
type route struct {
	service   *steering.Service
	operation *steering.Operation
	latency   *latencyHistogram
	budget    *ExtraBudget
}

// withdrawExtra spends one extra attempt if the service allows this kind (share > 0) and more than reserve are
// available.
func (r *route) withdrawExtra(share float64, reserve int64) bool {
	return share > 0 && r.budget.TryWithdraw(reserve)
}

// routeTable finds the operation of a request under one configuration revision. It is immutable.
type routeTable struct {
	configuration *steering.Configuration
	services      map[steering.ServiceName]*serviceRoutes
}

type serviceRoutes struct {
	router *mux.Router
	routes map[*mux.Route]*route
}

// routeCache holds the table of the revision in force and the state that is retained across revisions.
type routeCache struct {
	table atomic.Pointer[routeTable]

	mu        sync.Mutex // held by writers
	latencies map[operationKey]*latencyHistogram
	budgets   map[steering.ServiceName]*ExtraBudget
}

type operationKey struct {
	service   steering.ServiceName
	operation steering.OperationName
}

// tableFor returns the table of c, which is compiled once per configuration.
func (r *routeCache) tableFor(c *steering.Configuration) *routeTable {
	if t := r.table.Load(); t != nil && t.configuration == c {
		return t
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.table.Load(); t != nil && t.configuration == c {
		return t
	}
	t := r.compile(c)
	r.table.Store(t)
	return t
}

func (r *routeCache) compile(c *steering.Configuration) *routeTable {
	t := &routeTable{configuration: c, services: make(map[steering.ServiceName]*serviceRoutes)}
	for i := range c.Services {
		t.services[c.Services[i].Name] = r.compileService(&c.Services[i])
	}
	return t
}

func (r *routeCache) compileService(s *steering.Service) *serviceRoutes {
	compiled := &serviceRoutes{router: mux.NewRouter(), routes: make(map[*mux.Route]*route)}
	for i := range s.Operations {
		op := &s.Operations[i]
		m := compiled.router.Path("/" + string(s.Name) + op.Path).Methods(op.Method)
		compiled.routes[m] = &route{
			service:   s,
			operation: op,
			latency:   r.latency(operationKey{s.Name, op.Name}),
			budget:    r.budget(s.Name),
		}
	}
	return compiled
}

func (r *routeCache) latency(k operationKey) *latencyHistogram {
	if r.latencies == nil {
		r.latencies = make(map[operationKey]*latencyHistogram)
	}
	if r.latencies[k] == nil {
		r.latencies[k] = &latencyHistogram{}
	}
	return r.latencies[k]
}

func (r *routeCache) budget(s steering.ServiceName) *ExtraBudget {
	if r.budgets == nil {
		r.budgets = make(map[steering.ServiceName]*ExtraBudget)
	}
	if r.budgets[s] == nil {
		r.budgets[s] = NewExtraBudget(budgetBurst)
	}
	return r.budgets[s]
}

// find returns the route of the operation that r requests, or a *RouteError.
func (t *routeTable) find(r *http.Request) (*route, error) {
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	s := t.services[steering.ServiceName(name)]
	if s == nil {
		return nil, &RouteError{Path: r.URL.Path, Status: http.StatusNotFound}
	}
	var match mux.RouteMatch
	if s.router.Match(r, &match) && match.Route != nil {
		return s.routes[match.Route], nil
	}
	if errors.Is(match.MatchErr, mux.ErrMethodMismatch) {
		return nil, &RouteError{Path: r.URL.Path, Status: http.StatusMethodNotAllowed}
	}
	return nil, &RouteError{Path: r.URL.Path, Status: http.StatusNotFound}
}
