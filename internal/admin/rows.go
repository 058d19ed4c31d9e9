// Package admin is the administration API: read-only JSON over HTTP about what the system does and
// why. Publishing steering files is the only way to change anything.
package admin

import (
	"time"

	"github.com/azureflow/azureflow/internal/review"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// Alarm is a fault that operators should know about, such as a store that returns an older head.
type Alarm struct {
	Name   string    `json:"name"`
	Detail string    `json:"detail"`
	Since  time.Time `json:"since"`
}

// VMRow is an entry VM as this VM knows it.
type VMRow struct {
	Name          vm.Name             `json:"name"`
	Incarnation   vm.Incarnation      `json:"incarnation"`
	Region        steering.RegionName `json:"region"`
	Zone          steering.ZoneName   `json:"zone"`
	Address       string              `json:"address"`
	State         string              `json:"state"` // live, leaving or silent
	Revision      steering.Revision   `json:"revision"`
	LastContactMs int64               `json:"heard_ms"`      // time since the last contact, ms
	Utilization   float64             `json:"utilization"`   // 0 to 1
	CarriedPerS   float64             `json:"carried_per_s"` // requests/s
}

// ZoneRow is an availability zone as this VM knows it.
type ZoneRow struct {
	Name          steering.ZoneName   `json:"name"`
	Region        steering.RegionName `json:"region"`
	Leader        vm.Name             `json:"leader,omitempty"`
	LeaderEpoch   uint64              `json:"leader_epoch"`
	EntryVMs      int                 `json:"entry_vms"`
	Upstreams     int                 `json:"upstreams"`
	Reachable     bool                `json:"reachable"` // from this VM
	LastContactMs int64               `json:"heard_ms"`  // time since the last contact with any of its VMs, ms
}

// RegionRow is a service in a region.
type RegionRow struct {
	Region     steering.RegionName  `json:"region"`
	Service    steering.ServiceName `json:"service"`
	Slots      int                  `json:"slots"`  // of all its upstreams
	Usable     int                  `json:"usable"` // slots that this VM may use
	InFlight   int                  `json:"in_flight"`
	Weight     float64              `json:"weight"` // share that the steering file specifies
	Share      float64              `json:"share"`  // share in the plan in force
	PlanEpoch  uint64               `json:"plan_epoch"`
	Constraint review.Constraint    `json:"constraint"` // why Share differs from Weight
	Draining   bool                 `json:"draining"`
}

// LinkRow is one direction of a link between two regions.
type LinkRow struct {
	From          steering.RegionName `json:"from"`
	To            steering.RegionName `json:"to"`
	CapacityMbit  float64             `json:"capacity_mbit_s"`
	ShareMbit     float64             `json:"share_mbit_s"`   // that this VM may use
	UsedMbit      float64             `json:"used_mbit_s"`    // by this VM
	PeakMbit      float64             `json:"peak_mbit_s"`    // highest rate over one second in the last minute
	ControlMbit   float64             `json:"control_mbit_s"` // of UsedMbit, the system's own messages
	HeadroomShare float64             `json:"headroom"`       // 0 to 1, of ShareMbit
}

// ContractRow is a right to use slots of a zone, or part of a link.
type ContractRow struct {
	Service     steering.ServiceName `json:"service"`
	Zone        steering.ZoneName    `json:"zone"` // zone that has the slots
	Holder      vm.Name              `json:"holder"`
	Kind        string               `json:"kind"` // floor, home or grant
	Grant       uint64               `json:"grant,omitempty"`
	Slots       int                  `json:"slots"`
	InUse       int                  `json:"in_use"`
	Epoch       uint64               `json:"epoch"`
	ExpiresInMs int64                `json:"lapses_ms"` // time until it expires, ms; 0: never
}

// UpstreamRow is a server of a service.
type UpstreamRow struct {
	Name      vm.Name              `json:"name"`
	Service   steering.ServiceName `json:"service"`
	Region    steering.RegionName  `json:"region"`
	Zone      steering.ZoneName    `json:"zone"`
	Address   string               `json:"address"`
	State     string               `json:"state"` // serving, cold, ejected, draining or silent
	Slots     int                  `json:"slots"`
	InFlight  int                  `json:"in_flight"` // of this VM
	Reported  int                  `json:"reported_in_flight"`
	ReportMs  int64                `json:"report_age_ms"`
	LatencyMs float64              `json:"latency_ms"` // recent mean, measured by this VM
	Errors    float64              `json:"errors"`     // recent share, 0 to 1
}
