package lookup

import (
	"time"

	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// View is what a VM knows of all entry VMs. A Table takes the latest as a whole.
type View struct {
	Revision  steering.Revision
	Platform  steering.Platform // regions, zones and the delays of links
	VMs       []VMView
	Demand    []Demand  // where it is not known, regions count as equal
	LearnedAt time.Time // when other VMs or the VM list were last heard
}

// VMView is what is known of one entry VM.
type VMView struct {
	Name         vm.Name
	Incarnation  vm.Incarnation
	Zone         steering.ZoneName
	Address      string  // host:port for requests
	Leaving      bool    // gets no new callers
	Unresponsive bool    // not heard for long; named only where no other VM is left
	RequestRate  float64 // requests/s that it carries now
	Utilization  float64 // of its processor or of its slots, whichever is higher; 1 is full
}

// Demand is what the callers of a region ask for, over all entry VMs.
type Demand struct {
	Region    steering.RegionName
	PerSecond float64 // requests/s
}
