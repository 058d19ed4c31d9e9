// Package placement decides which server a request is sent to, or that it is refused. One cost combines how long a
// request would wait, whether the server handled its object recently, how slow the server's machine is at the moment,
// and how far away it is. The package does no input or output, and the time is an argument.
package placement

import (
	"time"

	"github.com/azureflow/azureflow/internal/steering"
)

// ServerID identifies one server of a service; it is never reused for another server.
type ServerID string

// Member is a server as the platform's registry lists it.
type Member struct {
	ID       ServerID
	Service  steering.ServiceName
	Address  string // host:port
	Zone     steering.ZoneName
	Region   steering.RegionName
	Slots    int           // requests served concurrently
	Draining bool          // leaving: gets no new requests
	ColdFor  time.Duration // cold for this long after Seen
	Born     time.Time     // start of this incarnation
	Seen     time.Time     // when the registry's entry was read
}

// Load is a server's own report of its load.
type Load struct {
	Running  int
	Waiting  int
	Slots    int
	Slowness float64 // service time on that machine now, relative to the usual; 1 is usual
}

// Membership is the set of known servers at one moment. It is immutable.
type Membership struct {
	Members   []Member
	Evacuated map[steering.ZoneName]bool
}
