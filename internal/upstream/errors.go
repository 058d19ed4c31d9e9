package upstream

import (
	"fmt"

	"github.com/azureflow/azureflow/internal/review"
	"github.com/azureflow/azureflow/internal/steering"
)

// NoServerError reports that no server of the pool could take an attempt; nothing was sent.
type NoServerError struct {
	Service    steering.ServiceName
	Zone       steering.ZoneName
	Servers    int                // in the pool
	Constraint review.Constraint  // drain: all leave; budget: no spare room for a hedge; contract: no slot
	Candidates []review.Candidate // at most maxCandidates
}

// Error implements error.
func (e *NoServerError) Error() string {
	return fmt.Sprintf("no server of %s in %s: %d known, bound by %s", e.Service, e.Zone, e.Servers, e.Constraint)
}
