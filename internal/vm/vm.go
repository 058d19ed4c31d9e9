// Package vm describes the VMs of the system and of the services, as the platform's VM list and
// the VMs themselves report them.
package vm

import (
	"time"

	"github.com/azureflow/azureflow/internal/steering"
)

// Name identifies a VM. A replacement may have the same name.
type Name string

// Incarnation distinguishes successive runs of a VM's process. A later start has a higher one.
type Incarnation uint64

// Kind is the role of a VM.
type Kind string

// The kinds of VM.
const (
	KindEntry    Kind = "entry"
	KindUpstream Kind = "upstream"
)

// State is the state of a VM according to the VM list.
type State string

// The states of a VM.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// VM is one row of the platform's VM list.
type VM struct {
	Name         Name                 `json:"name"`
	Kind         Kind                 `json:"kind"`
	Region       steering.RegionName  `json:"region"`
	Zone         steering.ZoneName    `json:"zone"`
	Address      string               `json:"address"`                // host:port for requests
	PeerAddress  string               `json:"peer_address,omitempty"` // host:port for drpc, entry VMs only
	AdminAddress string               `json:"admin_address,omitempty"`
	Service      steering.ServiceName `json:"service,omitempty"` // upstreams only
	Slots        int                  `json:"slots,omitempty"`   // upstreams only: requests served at a time
	State        State                `json:"state"`
	Since        time.Time            `json:"since"` // when the state started
}
