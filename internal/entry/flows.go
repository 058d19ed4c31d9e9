package entry

import (
	"maps"
	"sync"
	"sync/atomic"

	"github.com/azureflow/azureflow/internal/steering"
)

// flow names the traffic of one origin region to one zone for one service.
type flow struct {
	service steering.ServiceName
	origin  steering.RegionName
	zone    steering.ZoneName
}

// flowCounter counts one flow.
type flowCounter struct {
	inFlight atomic.Int64 // requests
	finished atomic.Int64 // requests, since the start
}

// flows counts the requests in flight by flow. Counting takes no lock.
type flows struct {
	mu  sync.Mutex // serialises writers
	all atomic.Pointer[map[flow]*flowCounter]
}

func newFlows() *flows {
	f := &flows{}
	f.all.Store(&map[flow]*flowCounter{})
	return f
}

// counter returns the counter of key and makes it if there is none.
func (f *flows) counter(key flow) *flowCounter {
	if c := (*f.all.Load())[key]; c != nil {
		return c
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if c := (*f.all.Load())[key]; c != nil {
		return c
	}
	next := maps.Clone(*f.all.Load())
	c := &flowCounter{}
	next[key] = c
	f.all.Store(&next)
	return c
}

// each calls fn for every flow seen so far.
func (f *flows) each(fn func(key flow, inFlight, finished int64)) {
	for key, c := range *f.all.Load() {
		fn(key, c.inFlight.Load(), c.finished.Load())
	}
}
