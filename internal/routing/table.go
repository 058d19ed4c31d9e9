package routing

import (
	"net"
	"reflect"
	"sort"
	"strings"

	"github.com/azureflow/azureflow/internal/steering"
)

// Table looks up the routes and services of one configuration. It is immutable.
type Table struct {
	version         Version
	limits          Limits
	routesByHost    map[string][]*Route // longest prefix first
	routesByName    map[string]*Route
	services        map[steering.ServiceName]*Service
	requiresKeys    bool
	accounts        []*Account
	accountByKey    map[string]*Account
	ordersAdmission bool
}

// NewTable returns the table of c, which must not change afterwards.
func NewTable(c *Config) *Table {
	t := &Table{
		version:      c.Version,
		limits:       c.Limits,
		routesByHost: make(map[string][]*Route),
		routesByName: make(map[string]*Route, len(c.Routes)),
		services:     make(map[steering.ServiceName]*Service, len(c.Services)),
	}
	t.ordersAdmission = len(c.Accounts) > 0
	for i := range c.Routes {
		r := &c.Routes[i]
		t.ordersAdmission = t.ordersAdmission || r.Kind == KindDownload
		host := strings.ToLower(r.Host)
		t.routesByName[r.Name] = r
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, routes := range t.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	t.requiresKeys = c.RequiresKeys || len(c.Accounts) > 0
	t.indexAccounts(c.Accounts)
	return t
}

func (t *Table) indexAccounts(accounts []Account) {
	keys := 0
	for i := range accounts {
		keys += len(accounts[i].Keys)
	}
	t.accounts, t.accountByKey = make([]*Account, 0, len(accounts)), make(map[string]*Account, keys)
	for i := range accounts {
		account := &accounts[i]
		t.accounts = append(t.accounts, account)
		for _, key := range account.Keys {
			t.accountByKey[key] = account
		}
	}
}

// HasAccounts reports whether requests need the key of a client account, except on routes that allow anonymous requests.
func (t *Table) HasAccounts() bool { return t.requiresKeys }

// OrdersAdmission reports whether the configuration distinguishes callers, so that requests which find no room are
// ordered by what it costs callers to wait: it has client accounts, or routes for large responses.
func (t *Table) OrdersAdmission() bool { return t.ordersAdmission }

// Accounts returns the client accounts, which must not be changed.
func (t *Table) Accounts() []*Account { return t.accounts }

// AccountByKey returns the client account with the given key, or nil.
func (t *Table) AccountByKey(key string) *Account { return t.accountByKey[key] }

// Version returns the version of the configuration.
func (t *Table) Version() Version { return t.version }

// Limits returns the limits on what callers may send.
func (t *Table) Limits() Limits { return t.limits }

// Service returns the service with the given name, or nil.
func (t *Table) Service(name steering.ServiceName) *Service { return t.services[name] }

// RouteByName returns the route with the given name, or nil.
func (t *Table) RouteByName(name string) *Route { return t.routesByName[name] }

// Route returns the route of host with the longest prefix that path has, or nil. The host may include a port.
func (t *Table) Route(host, path string) *Route {
	for _, r := range t.routesByHost[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Difference counts the routes that differ between two configurations, by name.
type Difference struct{ Added, Changed, Removed int }

// DiffFrom counts the routes that differ from those of old, which may be nil.
func (t *Table) DiffFrom(old *Table) Difference {
	var before map[string]*Route
	if old != nil {
		before = old.routesByName
	}
	var d Difference
	for name, route := range t.routesByName {
		previous, ok := before[name]
		switch {
		case !ok:
			d.Added++
		case !reflect.DeepEqual(previous, route):
			d.Changed++
		}
	}
	for name := range before {
		if t.routesByName[name] == nil {
			d.Removed++
		}
	}
	return d
}

func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// PickService returns the service of the destination of r that is selected by random, which is uniform in [0, 1).
func (r *Route) PickService(random float64) steering.ServiceName {
	if len(r.Destinations) == 1 {
		return r.Destinations[0].Service
	}
	var total float64
	for _, d := range r.Destinations {
		total += d.Weight
	}
	rest := random * total
	for _, d := range r.Destinations {
		rest -= d.Weight
		if rest < 0 {
			return d.Service
		}
	}
	return r.Destinations[len(r.Destinations)-1].Service
}
