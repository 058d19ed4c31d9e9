// Package gateway runs an entry VM on a platform that keeps configuration and membership in its store: it follows the
// store, tells callers which entry VMs to use, and serves their requests. A Catalog defines the formats of the
// platform's messages.
package gateway

import (
	"time"

	"github.com/azureflow/azureflow/internal/placement"
	"github.com/azureflow/azureflow/internal/quota"
	"github.com/azureflow/azureflow/internal/steering"
)

// Settings configures one entry VM.
type Settings struct {
	Name         string
	IP           string
	Region       steering.RegionName
	Zone         steering.ZoneName
	Zones        map[steering.ZoneName]steering.RegionName // of the deployment
	StoreAddress string                                    // host:port of the platform's store
	LinkMbit     float64                                   // bandwidth of the VM's own link, Mbit/s; 0: unknown
	Memory       int64                                     // of the VM, bytes; 0: unknown
	MaxSockets   int                                       // that the process may have open; 0: unknown
	Listen       ListenSettings
	Seeds        []string      // peer addresses of some entry VMs, host:port; any of them may be down
	MinLeaseTTL  time.Duration // the shortest TTL that the store grants
	Bounds       Bounds
}

// ListenSettings holds the addresses of an entry VM, each host:port; an empty one is not served.
type ListenSettings struct {
	Requests  string
	Readiness string
	Directory string
	Peer      string // for other entry VMs
}

// Bounds holds the limits that the system must keep.
type Bounds struct {
	Drain            time.Duration // after which a leaving server gets no new requests
	ConfigApply      time.Duration // after which a configuration is in force
	Evacuate         time.Duration // after which an evacuated zone gets no new requests
	Revoke           time.Duration // after which a withdrawn key runs nowhere, also while cut off; 0: no such bound
	Grace            time.Duration // from the request to stop to the kill
	RetryBudgetRatio float64       // attempts beyond the first for each request to a service
	RetryBudgetSlack float64       // attempts beyond that in a window
	DirectoryTTL     time.Duration
	Cold             placement.ColdBounds // of the requests that a cold server may get in one second
	Quota            quota.Bounds         // of the requests of a client account with a limit
	MaxShift         float64              // change of the share of requests in other regions, per 2 s
}

// placementOptions returns the options for choosing servers. Each zone has at least one entry VM.
func (s *Settings) placementOptions() placement.Options {
	minPeers := placement.Peers{Fleet: len(s.Zones)}
	for _, region := range s.Zones {
		if region == s.Region {
			minPeers.Region++
		}
	}
	return placement.Options{
		Zone: s.Zone, Region: s.Region, MaxShift: s.Bounds.MaxShift,
		RetryRatio: s.Bounds.RetryBudgetRatio, RetrySlack: s.Bounds.RetryBudgetSlack,
		MinPeers: minPeers, VM: s.Listen.Requests, Cold: s.Bounds.Cold,
	}
}
