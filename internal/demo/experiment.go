package demo

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/azureflow/azureflow/internal/entry"
	"github.com/azureflow/azureflow/internal/request"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/upstream"
)

// Variant is one way to run a deployment within an experiment.
type Variant struct {
	Name     string                   `json:"name"`
	Faults   []string                 `json:"faults,omitempty"`
	Without  []steering.OperationName `json:"without,omitempty"` // operations that callers leave out
	Policies entry.Policies           `json:"-"`
}

// Experiment runs a deployment in several variants with the same seeds.
type Experiment struct {
	Name       string                   `json:"name"`
	About      string                   `json:"about"`
	Deployment string                   `json:"deployment"`
	Load       float64                  `json:"load"`       // share of the peak that the steering files expect
	Operations []steering.OperationName `json:"operations"` // compared between variants
	Variants   []Variant                `json:"variants"`   // the first is what the others are compared with
}

var (
	fifo       = entry.Policies{Admission: request.PolicyFIFO}
	roundRobin = entry.Policies{Selection: upstream.PolicyRoundRobin}
	twoChoices = entry.Policies{Selection: upstream.PolicyTwoChoices}
	probed     = entry.Policies{Selection: upstream.PolicyProbed}
)

// Experiments are the questions that the users weigh most, each with its baselines.
var Experiments = []Experiment{
	{
		Name: "sohar-uploads", Deployment: "sohar", Load: 2.2,
		About:      "do short lookups and stamps wait behind scan uploads?",
		Operations: []steering.OperationName{"lookup", "stamp", "read-stamp", "read-scan"},
		Variants: []Variant{
			{Name: "no uploads", Without: []steering.OperationName{"upload-scan", "list-archive"}},
			{Name: "azureflow"},
			{Name: "first in, first out", Policies: fifo},
		},
	},
	{
		Name: "zollbrugg-slow", Deployment: "zollbrugg", Load: 0.6,
		About:      "what do tails pay while one upstream in four is 20 times slower?",
		Operations: []steering.OperationName{"balance", "read-settlement", "settle"},
		Variants: []Variant{
			{Name: "none slow"},
			{Name: "azureflow", Faults: []string{"slow-upstream"}},
			{Name: "probed", Faults: []string{"slow-upstream"}, Policies: probed},
			{Name: "two choices", Faults: []string{"slow-upstream"}, Policies: twoChoices},
			{Name: "round robin", Faults: []string{"slow-upstream"}, Policies: roundRobin},
		},
	},
	{
		Name: "sohar-region-loss", Deployment: "sohar", Load: 0.6,
		About:      "what do callers see, and what do the links carry, when a region is lost?",
		Operations: []steering.OperationName{"lookup", "stamp", "upload-scan"},
		Variants: []Variant{
			{Name: "all regions"},
			{Name: "dhofar lost", Faults: []string{"region-loss"}},
		},
	},
	{
		Name: "zollbrugg-drain", Deployment: "zollbrugg", Load: 0.6,
		About:      "what does a planned stop of an entry VM and of six upstreams cost?",
		Operations: []steering.OperationName{"balance", "read-settlement", "settle"},
		Variants: []Variant{
			{Name: "undisturbed"},
			{Name: "planned stops", Faults: []string{"drain"}},
		},
	},
}

// UnknownExperimentError reports an experiment that does not exist.
type UnknownExperimentError struct{ Name string }

// Error implements error.
func (e *UnknownExperimentError) Error() string {
	names := make([]string, len(Experiments))
	for i := range Experiments {
		names[i] = Experiments[i].Name + ": " + Experiments[i].About
	}
	return "unknown experiment " + e.Name + "; known are:\n  " + strings.Join(names, "\n  ")
}

// FindExperiment returns the experiment of a name. Errors: *UnknownExperimentError.
func FindExperiment(name string) (*Experiment, error) {
	i := slices.IndexFunc(Experiments, func(e Experiment) bool { return e.Name == name })
	if i < 0 {
		return nil, &UnknownExperimentError{Name: name}
	}
	return &Experiments[i], nil
}

// Runner runs a deployment once; Run is the one in real time.
type Runner func(ctx context.Context, opts Options) (*Summary, error)

// SeedsError reports an experiment without a seed.
type SeedsError struct{ Seeds int }

// Error implements error.
func (e *SeedsError) Error() string { return fmt.Sprintf("seeds %d: must be at least 1", e.Seeds) }

// Measure runs each variant with seeds from 1 up. Variants alternate, so that what else the machine does
// falls on all of them. Errors: *SeedsError and those of run.
func (e *Experiment) Measure(ctx context.Context, base Options, seeds int, run Runner) (*Measurement, error) {
	if seeds < 1 {
		return nil, &SeedsError{Seeds: seeds}
	}
	m := &Measurement{Experiment: e, Runs: make([][]*Summary, len(e.Variants))}
	for seed := range seeds {
		for i := range e.Variants {
			summary, err := run(ctx, e.options(base, i, uint64(seed)+1))
			if err != nil {
				return nil, err
			}
			m.Runs[i] = append(m.Runs[i], summary)
		}
	}
	return m, nil
}

func (e *Experiment) options(base Options, variant int, seed uint64) Options {
	v := &e.Variants[variant]
	base.Deployment = e.Deployment
	base.Load = e.Load
	base.Seed = seed
	base.Faults = v.Faults
	base.Without = v.Without
	base.Policies = v.Policies
	return base
}
