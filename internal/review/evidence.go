package review

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/vm"
)

// Limits of a search for records.
const (
	sourceTimeout   = 3 * time.Second
	parallelSources = 16
)

// PeerSource is another entry VM that may have records.
type PeerSource struct {
	VM    vm.Name
	Fetch func(ctx context.Context, request *peer.FetchRecordsRequest) (*peer.FetchRecordsReply, error)
}

// Sources are the places that are searched for records.
type Sources struct {
	Local   *Log          // of the VM that runs the search; nil: none
	Peers   []PeerSource  // the other entry VMs, including those that may be down
	Digests *DigestReader // nil: the store is not read
	// Recompute computes a recorded plan again from its inputs and compares the results. Nil: plans are not recomputed.
	Recompute func(plan *Record) (agrees bool, detail string)
}

// SourceFailure is a source that could not be queried.
type SourceFailure struct {
	Source string `json:"source"` // a VM, or "store"
	Reason string `json:"reason"`
}

// evidence is the combined result of a query to all sources, with each record once.
type evidence struct {
	records   []*Record // oldest first
	counts    []Count
	coverage  []Coverage
	failures  []SourceFailure
	truncated bool
	vms       []vm.Name // VMs that were queried
}

// collector combines the results of sources that are queried concurrently.
type collector struct {
	mu       sync.Mutex
	seen     map[ID]bool
	evidence evidence
}

// gather queries the local log, all peers and, if digests is set, the store.
func (s *Sources) gather(ctx context.Context, q fetchQuery, digests bool) *evidence {
	c := &collector{seen: make(map[ID]bool)}
	var group errgroup.Group
	group.SetLimit(parallelSources)
	if s.Local != nil {
		c.evidence.vms = append(c.evidence.vms, s.Local.self)
		group.Go(func() error {
			c.add(s.Local.fetch(q))
			return nil
		})
	}
	for _, p := range s.Peers {
		c.evidence.vms = append(c.evidence.vms, p.VM)
		group.Go(func() error {
			c.query(ctx, p, q)
			return nil
		})
	}
	if digests && s.Digests != nil {
		group.Go(func() error {
			c.readDigests(ctx, s.Digests, q)
			return nil
		})
	}
	_ = group.Wait()
	return c.finish()
}

func (c *collector) query(ctx context.Context, p PeerSource, q fetchQuery) {
	ctx, cancel := context.WithTimeout(ctx, sourceTimeout)
	defer cancel()
	reply, err := p.Fetch(ctx, q.message())
	if err != nil {
		c.addFailure(string(p.VM), err)
		return
	}
	batch, err := DecodeBatch(reply.GetRecords())
	if err != nil {
		c.addFailure(string(p.VM), err)
		return
	}
	c.add(batch, reply.GetTruncated())
}

func (c *collector) readDigests(ctx context.Context, digests *DigestReader, q fetchQuery) {
	batch, err := digests.fetch(ctx, q)
	if err != nil {
		c.addFailure("store", err)
	}
	c.add(batch, false)
}

func (c *collector) addFailure(source string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evidence.failures = append(c.evidence.failures, SourceFailure{Source: source, Reason: err.Error()})
}

func (c *collector) add(b *Batch, truncated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range b.Records {
		if !c.seen[r.ID] {
			c.seen[r.ID] = true
			c.evidence.records = append(c.evidence.records, r)
		}
	}
	c.evidence.counts = append(c.evidence.counts, b.Counts...)
	c.evidence.coverage = append(c.evidence.coverage, b.Coverage...)
	c.evidence.truncated = c.evidence.truncated || truncated
}

func (c *collector) finish() *evidence {
	e := &c.evidence
	sortByTime(e.records)
	e.counts = distinct(e.counts)
	e.coverage = distinct(e.coverage)
	slices.SortFunc(e.failures, func(a, b SourceFailure) int {
		if a.Source < b.Source {
			return -1
		}
		return 1
	})
	slices.Sort(e.vms)
	return e
}

// distinct returns list without duplicates, in the original order.
func distinct[T comparable](list []T) []T {
	seen := make(map[T]bool, len(list))
	var kept []T
	for _, v := range list {
		if !seen[v] {
			seen[v] = true
			kept = append(kept, v)
		}
	}
	return kept
}

func (e *evidence) find(id ID) *Record {
	for _, r := range e.records {
		if r.ID == id {
			return r
		}
	}
	return nil
}

func (e *evidence) merge(other *evidence) {
	for _, r := range other.records {
		if e.find(r.ID) == nil {
			e.records = append(e.records, r)
		}
	}
	sortByTime(e.records)
	e.coverage = distinct(append(e.coverage, other.coverage...))
	e.failures = distinct(append(e.failures, other.failures...))
	e.truncated = e.truncated || other.truncated
}

// failureOf returns the reason why the VM could not be queried, or "".
func (e *evidence) failureOf(name vm.Name) string {
	for _, f := range e.failures {
		if f.Source == string(name) {
			return f.Reason
		}
	}
	return ""
}
