package upstream

import (
	"fmt"

	"github.com/azureflow/azureflow/internal/review"
	"github.com/azureflow/azureflow/internal/steering"
)

// NoServerError reports that no server of the pool could accept an attempt; nothing was sent.
type NoServerError struct {
	Service    steering.ServiceName
	Zone       steering.ZoneName
	Servers    int                // in the pool
	Constraint review.Constraint  // drain: all are leaving; budget: no free capacity for a hedge; contract: no slot
	Candidates []review.Candidate // at most maxCandidates
}

// Error implements error.
func (e *NoServerError) Error() string {
	return fmt.Sprintf("no usable server of %s in %s: pool has %d servers, limited by %s", e.Service, e.Zone, e.Servers, e.Constraint)
}
