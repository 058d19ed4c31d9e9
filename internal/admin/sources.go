package admin

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/azureflow/azureflow/internal/review"
	"github.com/azureflow/azureflow/internal/steering"
)

// The sources of what the API shows. Each may be called from many goroutines at a time and returns
// rows that the caller may keep. An error is answered as a problem of kind source-failed.
type (
	// RevisionSource knows the configuration in force.
	RevisionSource interface {
		RevisionStatus(ctx context.Context) (RevisionStatus, error)
	}
	// VMSource knows the entry VMs.
	VMSource interface {
		VMRows(ctx context.Context) ([]VMRow, error)
	}
	// ZoneSource knows the availability zones.
	ZoneSource interface {
		ZoneRows(ctx context.Context) ([]ZoneRow, error)
	}
	// RegionSource knows the services in each region.
	RegionSource interface {
		RegionRows(ctx context.Context) ([]RegionRow, error)
	}
	// LinkSource knows the links between regions.
	LinkSource interface {
		LinkRows(ctx context.Context) ([]LinkRow, error)
	}
	// ContractSource knows who may use which slots.
	ContractSource interface {
		ContractRows(ctx context.Context) ([]ContractRow, error)
	}
	// UpstreamSource knows the servers of services.
	UpstreamSource interface {
		UpstreamRows(ctx context.Context) ([]UpstreamRow, error)
	}
	// DecisionSource knows the decisions of this VM. *review.Log implements it.
	DecisionSource interface {
		Find(id review.ID) *review.Record
		Range(service steering.ServiceName, from, to time.Time, limit int) (records []*review.Record, truncated bool)
	}
	// TeamSource knows which services a team owns; ok is false for an unknown team.
	TeamSource interface {
		ServicesOf(team steering.TeamName) (services []steering.ServiceName, ok bool)
	}
)

// Options configure NewHandler. A source that is nil answers 503.
type Options struct {
	Token     string // bearer token for /v1 and /metrics; empty: none is asked for
	Revision  RevisionSource
	VMs       VMSource
	Zones     ZoneSource
	Regions   RegionSource
	Links     LinkSource
	Contracts ContractSource
	Upstreams UpstreamSource
	Decisions DecisionSource
	Teams     TeamSource
	// ExplainSources returns where records are looked for now; it is called for each explanation.
	ExplainSources func() review.Sources
	// Ready returns nil once this VM serves, else the reason why it does not.
	Ready    func() error
	Gatherer prometheus.Gatherer // of /metrics; nil: no metrics
	Now      func() time.Time    // default time.Now
}
