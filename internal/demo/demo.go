package demo

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/azureflow/azureflow/internal/clock"
	"github.com/azureflow/azureflow/internal/entry"
	"github.com/azureflow/azureflow/internal/steering"
)

// Options configure a run. Zero values take the defaults.
type Options struct {
	Deployment string                   // sohar or zollbrugg
	Seed       uint64                   // of arrivals and service times; default 1
	Duration   time.Duration            // of the load; default 10 s
	Load       float64                  // share of the peak that the steering files expect; default 0.6
	Faults     []string                 // names, see FaultNames
	Without    []steering.OperationName // operations that callers leave out
	Policies   entry.Policies           // baselines; zero: the daemon's own
	Log        io.Writer                // of the entry VMs; nil: dropped
}

func (o Options) withDefaults() Options {
	if o.Seed == 0 {
		o.Seed = 1
	}
	if o.Duration == 0 {
		o.Duration = 10 * time.Second
	}
	if o.Load == 0 {
		o.Load = 0.6
	}
	if o.Log == nil {
		o.Log = io.Discard
	}
	return o
}

// Run brings a deployment up, loads it for a while, breaks what was asked for and compares what callers
// were told with what the upstreams really ran.
func Run(ctx context.Context, opts Options) (*Summary, error) {
	return runOn(ctx, opts.withDefaults(), tcp{})
}

func runOn(ctx context.Context, opts Options, t transport) (*Summary, error) {
	broken, err := findFaults(opts.Faults)
	if err != nil {
		return nil, err
	}
	d, err := loadDeployment(opts.Deployment)
	if err != nil {
		return nil, err
	}
	w, err := startWorld(ctx, opts, d, t)
	if err != nil {
		return nil, err
	}
	tallies := w.load(ctx, broken)
	w.noteDrain(w.drain(w.entries[0]))
	w.stop()
	return w.summarize(tallies), nil
}

// load runs every flow for the duration and the faults beside them. The tallies are by operation.
func (w *world) load(ctx context.Context, broken []fault) map[steering.OperationName]*tally {
	ctx, cancel := context.WithTimeout(ctx, w.opts.Duration)
	defer cancel()
	tallies := make(map[steering.OperationName]*tally)
	var running sync.WaitGroup
	for _, f := range w.flows() {
		t := tallies[f.operation.Name]
		if t == nil {
			t = newTally()
			tallies[f.operation.Name] = t
		}
		running.Go(func() { f.run(ctx, t) })
	}
	running.Go(func() { w.breakAndMend(ctx, broken) })
	running.Wait()
	return tallies
}

func (w *world) breakAndMend(ctx context.Context, broken []fault) {
	const thirds = 3
	if clock.Sleep(ctx, w.opts.Duration/thirds) != nil {
		return
	}
	for _, f := range broken {
		f.begin(w)
	}
	if clock.Sleep(ctx, w.opts.Duration/thirds) != nil {
		return
	}
	for _, f := range broken {
		if f.heal != nil {
			f.heal(w)
		}
	}
}
