package admin

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/azureflow/azureflow/internal/review"
	"github.com/azureflow/azureflow/internal/steering"
)

// The data sources of the API. Each must be safe for concurrent use and returns rows that the caller
// may keep. An error is returned to the client as a problem of kind source-failed.
type (
	// RevisionSource returns the configuration in force.
	RevisionSource interface {
		RevisionStatus(ctx context.Context) (RevisionStatus, error)
	}
	// VMSource returns the entry VMs.
	VMSource interface {
		VMRows(ctx context.Context) ([]VMRow, error)
	}
	// ZoneSource returns the availability zones.
	ZoneSource interface {
		ZoneRows(ctx context.Context) ([]ZoneRow, error)
	}
	// RegionSource returns the services in each region.
	RegionSource interface {
		RegionRows(ctx context.Context) ([]RegionRow, error)
	}
	// LinkSource returns the links between regions.
	LinkSource interface {
		LinkRows(ctx context.Context) ([]LinkRow, error)
	}
	// ContractSource returns who may use which slots.
	ContractSource interface {
		ContractRows(ctx context.Context) ([]ContractRow, error)
	}
	// UpstreamSource returns the servers of services.
	UpstreamSource interface {
		UpstreamRows(ctx context.Context) ([]UpstreamRow, error)
	}
	// DecisionSource returns the decisions of this VM. *review.Log implements it.
	DecisionSource interface {
		Find(id review.ID) *review.Record
		Range(service steering.ServiceName, from, to time.Time, limit int) (records []*review.Record, truncated bool)
	}
	// TeamSource returns which services a team owns; ok is false for an unknown team.
	TeamSource interface {
		ServicesOf(team steering.TeamName) (services []steering.ServiceName, ok bool)
	}
)

// Options configure NewHandler. A request that needs a source that is nil gets status 503.
type Options struct {
	Token     string // bearer token for /v1 and /metrics; empty: none is required
	Revision  RevisionSource
	VMs       VMSource
	Zones     ZoneSource
	Regions   RegionSource
	Links     LinkSource
	Contracts ContractSource
	Upstreams UpstreamSource
	Decisions DecisionSource
	Teams     TeamSource
	// ExplainSources returns the sources to search for records; it is called for each explanation.
	ExplainSources func() review.Sources
	// Ready returns nil if this VM is ready to serve, else the reason why it is not.
	Ready    func() error
	Gatherer prometheus.Gatherer // of /metrics; nil: no metrics
	Now      func() time.Time    // default time.Now
}
