// Package request carries one request from a caller to an upstream: outcome, deadline, admission,
// attempts, retries, hedges and the whole answer.
package request

import (
	"time"

	"github.com/azureflow/azureflow/internal/review"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// PlacementQuery asks where one attempt should go.
type PlacementQuery struct {
	Service   steering.ServiceName
	Operation *steering.Operation
	Origin    steering.RegionName // region of the caller
	Key       uint64              // hash that spreads requests over regions by share
	Exclude   []vm.Name           // servers already tried
	Hedge     bool                // an extra attempt: only where there is spare room
	Now       time.Time
}

// Placement is the right to send one attempt to one server.
type Placement struct {
	Server     vm.VM
	Revision   steering.Revision
	PlanEpoch  uint64
	Grant      uint64 // 0: home slots
	Constraint review.Constraint
	Candidates []review.Candidate
	// Release gives the slot back; it is called exactly once.
	Release func(AttemptResult)
}

// AttemptResult is what an attempt showed of its server.
type AttemptResult struct {
	Failure   Failure
	FirstByte time.Duration // from the request's last byte; 0 if none came
	Total     time.Duration
	Load      *UpstreamLoad // report in the answer, if any
}

// Failure classifies how an attempt ended, for the choice of servers.
type Failure uint8

// The failures of an attempt.
const (
	FailureNone      Failure = iota
	FailureDial              // no connection could be made
	FailureSilent            // the connection went silent; the server may be well
	FailureReset             // the connection broke
	FailureShed              // the server refused and says that it did not run the request
	FailureServer            // 5xx or a malformed answer
	FailureCancelled         // ended by us: a losing hedge or a caller that went away
)

// UpstreamLoad is a server's own report of its load.
type UpstreamLoad struct {
	InFlight int
	Queued   int
	Slots    int
	Draining bool
}

// Placer places attempts. It is safe for concurrent use.
type Placer interface {
	// Place returns the right to send, or *NoRoomError, *UnroutableError.
	Place(q *PlacementQuery) (*Placement, error)
	// CapacityFreed returns a channel that is closed when room may have appeared since the call.
	CapacityFreed(service steering.ServiceName) <-chan struct{}
}

// CapacityReporter may be implemented by a Placer that knows its capacity; else it is inferred from
// NoRoomErrors.
type CapacityReporter interface {
	// Capacity returns how many requests of a service may be placed at a time now.
	Capacity(service steering.ServiceName) int
}

// NoCapacityError reports that no server may be sent more at this moment.
type NoCapacityError struct {
	Service    steering.ServiceName
	Constraint review.Constraint
	RetryAfter time.Duration
	Candidates []review.Candidate
}

// Error implements error.
func (e *NoCapacityError) Error() string {
	return "no room for " + string(e.Service) + ": bound by " + string(e.Constraint)
}

// UnroutableError reports a service that has no region or server to send to.
type UnroutableError struct{ Service steering.ServiceName }

// Error implements error.
func (e *UnroutableError) Error() string { return "no server known for " + string(e.Service) }
