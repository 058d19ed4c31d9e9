package refplatform

import (
	"github.com/azureflow/azureflow/internal/kv"
	"github.com/azureflow/azureflow/internal/vm"
)

// Paths of the platform's HTTP interface. Keys, prefixes and versions are query parameters.
const (
	PathKey    = "/v1/key"    // GET, PUT, DELETE ?key= (PUT, DELETE: &expect=) (PUT: &lease=)
	PathKeys   = "/v1/keys"   // GET ?prefix=
	PathWatch  = "/v1/watch"  // GET ?prefix=&after=
	PathLeases = "/v1/leases" // POST ?ttl_ms=
	PathLease  = "/v1/lease"  // POST renews, DELETE revokes ?id=
	PathVMs    = "/v1/vms"    // GET, supports If-None-Match and gzip
)

// HeaderClient carries the name of the client of a call, for the stand-in's faults and counts.
const HeaderClient = "Platform-Client"

// Codes of a Problem.
const (
	CodeNotFound     = "not-found"
	CodeConflict     = "conflict"
	CodeUnavailable  = "unavailable" // the call certainly had no effect
	CodeLeaseExpired = "lease-lapsed"
	CodeTooLarge     = "too-large"
	CodeInvalid      = "invalid"
)

// Problem is the body of a response that is not 2xx.
type Problem struct {
	Code     string     `json:"code"`
	Key      string     `json:"key,omitempty"`
	Expected kv.Version `json:"expected,omitempty"`
	Current  kv.Version `json:"current,omitempty"`
	Lease    kv.LeaseID `json:"lease,omitempty"`
	Bytes    int        `json:"bytes,omitempty"`
	Limit    int        `json:"limit,omitempty"`
	Detail   string     `json:"detail,omitempty"`
}

// EntriesResponse is the response to a list or a watch.
type EntriesResponse struct {
	Entries []kv.Entry `json:"entries"`
	Version kv.Version `json:"version"`
}

// VersionResponse is the response to a write.
type VersionResponse struct {
	Version kv.Version `json:"version"`
}

// LeaseResponse is the response to the grant of a lease.
type LeaseResponse struct {
	ID    kv.LeaseID `json:"id"`
	TTLMs int64      `json:"ttl_ms"`
	Epoch kv.Version `json:"epoch"`
}

// VMsResponse is the response to a read of the VM list.
type VMsResponse struct {
	VMs []vm.VM `json:"vms"`
}
