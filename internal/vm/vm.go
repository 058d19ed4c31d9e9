// Package vm describes the VMs of the system and of the services, as the platform's VM list and
// the VMs themselves report them.
package vm

import (
	"time"

	"github.com/azureflow/azureflow/internal/steering"
)

// Name names a VM; a replacement may come back under the same name.
type Name string

// Incarnation tells the lives of a VM's process apart; a later start has a higher one.
type Incarnation uint64

// Kind says what runs on a VM.
type Kind string

// The kinds of VM.
const (
	KindEntry    Kind = "entry"
	KindUpstream Kind = "upstream"
)

// State is what the VM list says of a VM.
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
	Since        time.Time            `json:"since"` // when the state began
}
