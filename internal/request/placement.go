// Package request forwards a request from a caller to an upstream: outcome, deadline, admission, attempts, retries,
// hedges and the complete response.
package request

import (
	"time"

	"github.com/azureflow/azureflow/internal/review"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// PlacementQuery is a request for a server for one attempt.
type PlacementQuery struct {
	Service   steering.ServiceName
	Operation *steering.Operation
	Origin    steering.RegionName // region of the caller
	Key       uint64              // hash that spreads requests over regions by share
	Exclude   []vm.Name           // servers already tried
	Hedge     bool                // an extra attempt: only on a server with spare capacity
	Now       time.Time
}

// Placement is the permission to send one attempt to one server.
type Placement struct {
	Server     vm.VM
	Revision   steering.Revision
	PlanEpoch  uint64
	Grant      uint64 // 0: slots of the home region
	Constraint review.Constraint
	Candidates []review.Candidate
	// Release releases the slot; it is called exactly once.
	Release func(AttemptResult)
}

// AttemptResult is what an attempt revealed about its server.
type AttemptResult struct {
	Failure   Failure
	FirstByte time.Duration // from the last byte of the request; 0 if no byte was received
	Total     time.Duration
	Load      *UpstreamLoad // load report in the response, if any
}

// Failure classifies how an attempt ended, for the choice of servers.
type Failure uint8

// The failures of an attempt.
const (
	FailureNone      Failure = iota
	FailureDial              // no connection could be established
	FailureSilent            // the connection became unresponsive; the server may be healthy
	FailureReset             // the connection broke
	FailureShed              // the server refused the request and states that it did not run it
	FailureServer            // 5xx or a malformed response
	FailureCancelled         // canceled by the entry VM: a superseded hedge, or the caller disconnected
)

// UpstreamLoad is the load that a server reports about itself.
type UpstreamLoad struct {
	InFlight int
	Queued   int
	Slots    int
	Draining bool
}

// Placer places attempts. It is safe for concurrent use.
type Placer interface {
	// Place returns a placement. Errors: *NoCapacityError, *UnroutableError.
	Place(q *PlacementQuery) (*Placement, error)
	// CapacityFreed returns a channel that is closed when capacity may have become free since the call.
	CapacityFreed(service steering.ServiceName) <-chan struct{}
}

// CapacityReporter may be implemented by a Placer that knows its capacity; otherwise the capacity is inferred from
// NoCapacityErrors.
type CapacityReporter interface {
	// Capacity returns how many requests of a service may currently be placed at the same time.
	Capacity(service steering.ServiceName) int
}

// NoCapacityError reports that no server can currently take another attempt.
type NoCapacityError struct {
	Service    steering.ServiceName
	Constraint review.Constraint
	RetryAfter time.Duration
	Candidates []review.Candidate
}

// Error implements error.
func (e *NoCapacityError) Error() string {
	return "no free capacity for " + string(e.Service) + ": limited by " + string(e.Constraint)
}

// UnroutableError reports a service without a region or server that requests can be sent to.
type UnroutableError struct{ Service steering.ServiceName }

// Error implements error.
func (e *UnroutableError) Error() string { return "no server known for " + string(e.Service) }
