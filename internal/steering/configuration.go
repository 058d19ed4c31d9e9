package steering

import "time"

// Configuration is the content of one revision. It is immutable once built.
type Configuration struct {
	Revision    Revision      `json:"revision"`
	Publication PublicationID `json:"publication"` // the publication that made the revision
	PublishedAt time.Time     `json:"published_at"`
	Platform    Platform      `json:"platform"`
	Services    []Service     `json:"services"` // sorted by name
}

// Platform is the content of the platform file: regions, links, and the teams that own services.
type Platform struct {
	Deployment  string   `json:"deployment" file:"required"`
	ZoneDelay   Duration `json:"zone_delay,omitempty"`   // one way, between the zones of a region
	ClientDelay Duration `json:"client_delay,omitempty"` // one way, from a caller to its region
	Regions     []Region `json:"regions" file:"required"`
	Links       []Link   `json:"links"`
	Teams       []Team   `json:"teams" file:"required"`
}

// Region is a region and its availability zones.
type Region struct {
	Name  RegionName `json:"name" file:"required"`
	Zones []ZoneName `json:"zones" file:"required"`
}

// Link is one direction of the link between two regions.
type Link struct {
	From         RegionName `json:"from" file:"required"`
	To           RegionName `json:"to" file:"required"`
	CapacityMbit float64    `json:"capacity_mbit_s" file:"required"` // Mbit/s
	Delay        Duration   `json:"delay" file:"required"`           // one way
}

// Team owns services; only its files may change them.
type Team struct {
	Name     TeamName      `json:"name" file:"required"`
	Services []ServiceName `json:"services" file:"required"`
}

// Service is the content of one steering file.
type Service struct {
	Name       ServiceName    `json:"service" file:"required"`
	Team       TeamName       `json:"team" file:"required"`
	Operations []Operation    `json:"operations" file:"required"`
	Weights    []RegionWeight `json:"regions" file:"required"`
	ShiftCap   ShiftCap       `json:"shift_cap"`
	Budgets    Budgets        `json:"budgets"`
	Drains     []Drain        `json:"drains,omitempty"`
	Floor      Floor          `json:"floor"`
}

// Operation is one kind of request to a service.
type Operation struct {
	Name          OperationName `json:"name" file:"required"`
	Method        string        `json:"method" file:"required"`
	Path          string        `json:"path" file:"required"` // gorilla/mux template below /SERVICE
	Idempotent    bool          `json:"idempotent" file:"required"`
	Class         Class         `json:"class" file:"required"`
	Deadline      Duration      `json:"deadline"`
	ExpectedBytes int64         `json:"expected_bytes"` // larger of request and response
	// PeakRequests and ServiceTime are what the team expects; 0 if not given. Only checks and
	// differences use them; no routing decision does.
	PeakRequests float64  `json:"peak_requests_s,omitempty"` // requests a second from all origins
	ServiceTime  Duration `json:"service_time,omitempty"`    // that a request holds a slot
}

// RegionWeight is the weight that an operator assigns to a region of a service, and its planned slots.
type RegionWeight struct {
	Region RegionName `json:"region" file:"required"`
	Weight float64    `json:"weight" file:"required"` // relative; 0 takes the region out
	Slots  int        `json:"slots,omitempty"`        // of the planned servers in the region; 0 if not given
}

// ShiftCap bounds how much of a service's traffic may move between regions in a window.
type ShiftCap struct {
	Share  float64  `json:"share"` // of the traffic, 0 to 1
	Window Duration `json:"window"`
}

// Budgets bounds extra attempts as a share of the requests of a service.
type Budgets struct {
	Retries float64 `json:"retries"` // 0 to 1
	Hedges  float64 `json:"hedges"`  // 0 to 1
}

// Drain takes a region or a zone of a service out of use from Start on.
type Drain struct {
	Region RegionName `json:"region,omitempty"`
	Zone   ZoneName   `json:"zone,omitempty"`
	Start  time.Time  `json:"start" file:"required"`
}

// Floor is the share of a zone's slots that its own entry VMs may use without a lease.
type Floor struct {
	Share float64 `json:"share"` // 0 to 1
}

// ServiceByName returns the service called name, or nil.
func (c *Configuration) ServiceByName(name ServiceName) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// RegionOf returns the region that holds zone, or "".
func (p *Platform) RegionOf(zone ZoneName) RegionName {
	for _, r := range p.Regions {
		for _, z := range r.Zones {
			if z == zone {
				return r.Name
			}
		}
	}
	return ""
}

// Link returns the link between two regions, or nil.
func (p *Platform) Link(from, to RegionName) *Link {
	for i := range p.Links {
		if p.Links[i].From == from && p.Links[i].To == to {
			return &p.Links[i]
		}
	}
	return nil
}
