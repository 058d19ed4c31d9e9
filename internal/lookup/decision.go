// Package lookup decides which entry VM a caller should use. It prefers the nearest availability zone, up to
// the capacity of its VMs. Within a zone it uses weighted rendezvous hashing of service and caller block, so that the
// callers of a lost VM spread over the remaining ones.
package lookup

import (
	"time"

	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// MaxEntries is the number of entry VMs that a decision ranks.
const MaxEntries = 3

// Query describes a caller that looks for an entry VM.
type Query struct {
	Service steering.ServiceName
	Origin  steering.RegionName // region of the caller; used if its block is not listed
	Block   Block
	Now     time.Time
}

// Entry is an entry VM as returned to callers.
type Entry struct {
	Name        vm.Name
	Incarnation vm.Incarnation
	Address     string // host:port for requests
	Zone        steering.ZoneName
}

// Reason says why the first entry VM was chosen.
type Reason uint8

// The reasons.
const (
	ReasonNearest       Reason = iota // in the nearest zone or region that has VMs
	ReasonSpilled                     // nearer VMs are assigned as much as they may carry
	ReasonOnlyVM                      // no other VM is known
	ReasonUnknownOrigin               // the origin is unknown; chosen as for the region of this VM
	reasonCount
)

var reasonNames = [reasonCount]string{"nearest", "nearer is full", "no other known", "origin unknown"}

// String returns the reason in words.
func (r Reason) String() string {
	if r < reasonCount {
		return reasonNames[r]
	}
	return "unknown"
}

// Decision is a ranked list of entry VMs. It is returned by value and needs no heap allocation.
type Decision struct {
	Entries      [MaxEntries]Entry // the first Count are set, best first
	Count        int
	Lifetime     time.Duration // how long a caller may use the decision
	Reason       Reason
	Revision     steering.Revision // of the platform file that the view is based on
	KnowledgeAge time.Duration     // time since the last contact with other VMs or the VM list
	Stale        bool              // KnowledgeAge exceeds Options.StaleAfter, or only unresponsive VMs are left
}
