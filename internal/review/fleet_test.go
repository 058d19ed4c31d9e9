package review

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/refplatform"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// node is an entry VM reduced to its records.
type node struct {
	log     *Log
	stopped atomic.Bool
	cancel  context.CancelFunc
}

// fleet is a set of nodes that each mirror to the next one.
type fleet struct {
	mirrorBytes int // budget of the mirrors, bytes/s; 0: the default
	nodes       []*node
}

type unreachableError struct{ name vm.Name }

func (e *unreachableError) Error() string { return string(e.name) + ": connection refused" }

func newFleet(n int) *fleet {
	f := &fleet{}
	for i := range n {
		name := vm.Name(fmt.Sprintf("e%d", i+1))
		f.nodes = append(f.nodes, &node{log: NewLog(LogOptions{Self: name, Incarnation: 1})})
	}
	return f
}

// start runs the mirror of every node.
func (f *fleet) start(t *testing.T) {
	for i, n := range f.nodes {
		ctx, cancel := context.WithCancel(t.Context())
		n.cancel = cancel
		target := f.nodes[(i+1)%len(f.nodes)]
		mirror := NewMirror(MirrorOptions{Log: n.log, BytesPerSec: f.mirrorBytes, Send: func(ctx context.Context, r *peer.MirrorRequest) error {
			if n.stopped.Load() || target.stopped.Load() {
				return &unreachableError{target.log.self}
			}
			_, err := target.log.MirrorRecords(ctx, r)
			return err
		}})
		go func() { _ = mirror.Run(ctx) }()
	}
}

func (f *fleet) kill(i int) {
	f.nodes[i].stopped.Store(true)
	f.nodes[i].cancel()
}

// sources returns all nodes as sources, with the first running one as the local one.
func (f *fleet) sources(store refplatform.Store, zones ...steering.ZoneName) Sources {
	var s Sources
	for _, n := range f.nodes {
		if s.Local == nil && !n.stopped.Load() {
			s.Local = n.log
			continue
		}
		s.Peers = append(s.Peers, PeerSource{VM: n.log.self, Fetch: n.fetch})
	}
	if store != nil {
		s.Digests = &DigestReader{Store: store, Zones: zones}
	}
	return s
}

func (n *node) fetch(ctx context.Context, r *peer.FetchRecordsRequest) (*peer.FetchRecordsReply, error) {
	if n.stopped.Load() {
		return nil, &unreachableError{n.log.self}
	}
	return n.log.FetchRecords(ctx, r)
}

// recordRequest records a request with one attempt, as the request path does, and returns its id.
func recordRequest(l *Log, service steering.ServiceName, server, outcome string, took time.Duration) ID {
	id := l.NextID()
	at := time.Now()
	l.Record(&Record{
		Parent: id, Kind: KindAttempt, At: at, Took: took - took/10, Service: service, Operation: "lookup",
		Origin: "batinah", Revision: 12, PlanEpoch: 88, Constraint: ConstraintNone, Result: server,
		Outcome: outcome, TraceID: "4bf92f3577b34da6a3ce929d0e0e4736",
		Candidates: []Candidate{
			{Name: server, Taken: true, Reason: "least busy", Score: 0.41},
			{Name: "u7", Reason: "busier", Score: 0.77},
		},
	})
	l.Record(&Record{
		ID: id, Kind: KindRequest, At: at, Took: took, Service: service, Operation: "lookup",
		Origin: "batinah", Revision: 12, PlanEpoch: 88, Constraint: ConstraintNone,
		Result: server, Outcome: outcome, TraceID: "4bf92f3577b34da6a3ce929d0e0e4736",
	})
	return id
}

func recordRefusal(l *Log, service steering.ServiceName, constraint Constraint) ID {
	id := l.NextID()
	l.Record(&Record{
		ID: id, Kind: KindRequest, Took: time.Millisecond, Service: service, Operation: "stamp",
		Origin: "batinah", Revision: 12, PlanEpoch: 88, Constraint: constraint, Result: "no room", Outcome: outcomeNotRun,
	})
	return id
}

// countingMetrics counts mirrored records, and dropped records by stage.
type countingMetrics struct {
	mu       sync.Mutex
	dropped  map[string]int
	mirrored int
}

func (m *countingMetrics) RecordsKept(Kind, int) {}
func (m *countingMetrics) DigestWritten(int)     {}

func (m *countingMetrics) RecordsMirrored(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mirrored += n
}

func (m *countingMetrics) RecordsDropped(stage string, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dropped == nil {
		m.dropped = make(map[string]int)
	}
	m.dropped[stage] += n
}

func zoneNames(names []string) []steering.ZoneName {
	var zones []steering.ZoneName
	for _, n := range names {
		zones = append(zones, steering.ZoneName(n))
	}
	return zones
}

func vmNumber(i int) vm.Name { return vm.Name(fmt.Sprintf("%02d", i)) }
