// Package routing holds the configuration that a gateway serves from: routes found by host and longest path prefix, the
// services behind them, and the limits on what callers may send. A Table is immutable; a newer one replaces it
// completely.
package routing

import (
	"slices"
	"time"

	"github.com/azureflow/azureflow/internal/steering"
)

// Version orders configurations; a process never returns to a lower one.
type Version uint64

// Kind determines how the requests of a route may be handled.
type Kind uint8

// The kinds of route.
const (
	KindSafe     Kind = iota // may run more than once
	KindUnsafe               // runs at most once for each request
	KindUpload               // like KindUnsafe, with a large body
	KindDownload             // like KindSafe, with a large response
)

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string {
	switch k {
	case KindUnsafe:
		return "unsafe"
	case KindUpload:
		return "upload"
	case KindDownload:
		return "download"
	default:
		return "safe"
	}
}

// Idempotent reports whether a request of this kind may run more than once.
func (k Kind) Idempotent() bool { return k == KindSafe || k == KindDownload }

// Destination is one service of a route with its share of the requests.
type Destination struct {
	Service steering.ServiceName
	Weight  float64 // relative to the other destinations of the route
}

// Route is a set of requests that are handled alike.
type Route struct {
	Name           string
	Host           string
	Prefix         string // begins and ends with a slash
	Kind           Kind
	Timeout        time.Duration // longest time until the final response
	TargetLatency  time.Duration // a response within it is on time
	MaxAttempts    int           // servers that one request may be sent to
	Priority       int           // 0 is the most urgent
	Affinity       bool          // a server that handled the object recently is faster
	AllowedRegions []steering.RegionName
	AllowAnonymous bool          // requests need no key of a client account
	Destinations   []Destination // at least one
}

// LatencyObjective returns the time within which a response is on time: the target latency, or the timeout where no
// target is set; 0 if neither is.
func (r *Route) LatencyObjective() time.Duration {
	if r.TargetLatency > 0 {
		return r.TargetLatency
	}
	return r.Timeout
}

// Allows reports whether requests of the route may be handled in region.
func (r *Route) Allows(region steering.RegionName) bool { return isAllowed(r.AllowedRegions, region) }

// isAllowed reports whether regions, of which none means all, include region.
func isAllowed(regions []steering.RegionName, region steering.RegionName) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}

// Service describes the upstreams of one service.
type Service struct {
	Name           steering.ServiceName
	HealthPath     string
	MaxConnections int           // to one server, from all entry VMs together
	ColdStart      time.Duration // a started server is cold for this long
	ColdPerSecond  float64       // requests per second that a cold server can handle
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one configuration as received from its source.
type Config struct {
	Version  Version
	Routes   []Route
	Services []Service
	Limits   Limits
	// RequiresKeys is true if requests need the key of one of Accounts, except on routes that allow anonymous requests. It
	// may hold without any account: then no key is known.
	RequiresKeys bool
	Accounts     []Account // client accounts
}
