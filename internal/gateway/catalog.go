package gateway

import (
	"net/http"
	"time"

	"github.com/azureflow/azureflow/internal/forward"
	"github.com/azureflow/azureflow/internal/kv"
	"github.com/azureflow/azureflow/internal/placement"
	"github.com/azureflow/azureflow/internal/routing"
	"github.com/azureflow/azureflow/internal/steering"
)

// Catalog holds the names and formats of a platform.
type Catalog struct {
	Headers        forward.Headers
	OperatorPrefix string // of all keys that the operator writes
	ConfigKey      string // key of the configuration
	ServerPrefix   string // of the keys of servers' entries
	DecodeConfig   func(data []byte) (*routing.Config, error)
	DecodeServer   func(key string, data []byte) (ServerEntry, error)
	EvacuatedZone  func(key string) (zone steering.ZoneName, ok bool)
	Directory      func(lookup LookupFunc) http.Handler
	Readiness      func(ready func() bool) http.Handler
	OpenStore      func(address string) kv.StaleReader
}

// ServerEntry is what a server wrote about itself to the store.
type ServerEntry struct {
	Member placement.Member
	Seq    uint64 // number of this entry among those of the server's incarnation
}

// LookupFunc returns the entry VMs that a caller in a zone should use.
type LookupFunc func(region steering.RegionName, zone steering.ZoneName) LookupResult

// LookupResult is the response to a caller that asks for entry VMs to connect to.
type LookupResult struct {
	Addresses []string      // of entry VMs, host:port
	TTL       time.Duration // for which the caller may cache the result
}
