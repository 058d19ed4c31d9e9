// Package lookup decides which entry VM a caller should use: the nearest availability zone first,
// as far as its VMs have room, and within a zone by weighted rendezvous hashing of service and
// caller block, so that the callers of a lost VM spread over those that are left.
package lookup

import (
	"time"

	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// MaxEntries is the number of entry VMs that a decision ranks.
const MaxEntries = 3

// Query asks which entry VM a caller should use.
type Query struct {
	Service steering.ServiceName
	Origin  steering.RegionName // region of the caller; used where its block is not listed
	Block   Block
	Now     time.Time
}

// Entry is an entry VM as a caller needs it.
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
	ReasonSpilled                     // nearer VMs have their full part
	ReasonOnlyVM                      // no other VM is known
	ReasonUnknownOrigin               // the origin is unknown; nearest to this VM
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

// Decision is a ranked answer. It holds no pointers of its own, so making one allocates nothing.
type Decision struct {
	Entries      [MaxEntries]Entry // the first Count are set, best first
	Count        int
	Lifetime     time.Duration // how long a caller may use the answer
	Reason       Reason
	Revision     steering.Revision // of the platform file that the view rests on
	KnowledgeAge time.Duration     // since other VMs or the VM list were last heard
	Stale        bool              // KnowledgeAge is above Options.StaleAfter
}
