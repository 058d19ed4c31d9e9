// Package gateway runs an entry VM on a platform that keeps configuration and membership in its store: it
// follows the store, tells callers which entry VMs to use, and serves their requests. What the platform's
// messages look like is told to it by a Catalog.
package gateway

import (
	"time"

	"github.com/azureflow/azureflow/internal/placement"
	"github.com/azureflow/azureflow/internal/steering"
)

// Settings are those of one entry VM.
type Settings struct {
	Name         string
	IP           string
	Region       steering.RegionName
	Zone         steering.ZoneName
	Zones        map[steering.ZoneName]steering.RegionName // of the deployment
	StoreAddress string                                    // host:port of the platform's store
	LinkMbit     float64                                   // the VM's own link, Mbit/s; 0: not known
	Listen       ListenSettings
	Seeds        []string      // peer addresses of some entry VMs, host:port; any of them may be gone
	MinLeaseTTL  time.Duration // the shortest that the store grants
	Bounds       Bounds
}

// ListenSettings are the addresses of an entry VM, each host:port; an empty one is not served.
type ListenSettings struct {
	Requests  string
	Readiness string
	Directory string
	Peer      string // for other entry VMs
}

// Bounds are what the users ask of the system.
type Bounds struct {
	Drain            time.Duration // after which a leaving server gets nothing new
	ConfigApply      time.Duration // after which a configuration is in force
	Evacuate         time.Duration // after which an evacuated zone gets nothing new
	Grace            time.Duration // from the request to stop to the kill
	RetryBudgetRatio float64       // sendings beyond the first for each request to a service
	RetryBudgetSlack float64       // sendings beyond that in a window
	DirectoryTTL     time.Duration
	MaxShift         float64 // change of the share of requests in other regions, per 2 s
}

// placementOptions returns what the settings say of the choice of servers. Each zone has an entry VM at least.
func (s *Settings) placementOptions() placement.Options {
	least := placement.Peers{Fleet: len(s.Zones)}
	for _, region := range s.Zones {
		if region == s.Region {
			least.Region++
		}
	}
	return placement.Options{
		Zone: s.Zone, Region: s.Region, MaxShift: s.Bounds.MaxShift,
		RetryRatio: s.Bounds.RetryBudgetRatio, RetrySlack: s.Bounds.RetryBudgetSlack,
		MinPeers: least,
	}
}
