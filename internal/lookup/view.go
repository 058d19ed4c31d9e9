package lookup

import (
	"time"

	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// View is the state of all entry VMs as one VM knows it. Table.Update replaces the previous View entirely.
type View struct {
	Revision  steering.Revision
	Platform  steering.Platform // regions, zones and the delays of links
	VMs       []VMView
	Demand    []Demand  // if empty, demand is estimated from listed blocks, or assumed equal for all regions
	LearnedAt time.Time // last contact with other VMs or the VM list
}

// VMView is the known state of one entry VM.
type VMView struct {
	Name         vm.Name
	Incarnation  vm.Incarnation
	Zone         steering.ZoneName
	Address      string  // host:port for requests
	Leaving      bool    // receives no new callers
	Unresponsive bool    // no contact for long; used only if no other VM is left
	RequestRate  float64 // current rate in requests/s
	Utilization  float64 // of its processor or of its slots, whichever is higher; 1 is full
}

// Demand is the request rate of the callers of a region, summed over all entry VMs.
type Demand struct {
	Region    steering.RegionName
	PerSecond float64 // requests/s
}
