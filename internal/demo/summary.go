package demo

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/azureflow/azureflow/internal/standin"
	"github.com/azureflow/azureflow/internal/steering"
)

// Summary is the result of a run.
type Summary struct {
	Deployment   string             `json:"deployment"`
	Seed         uint64             `json:"seed"`
	Faults       []string           `json:"faults"`
	Requests     int                `json:"requests"`
	Done         int                `json:"done"`
	NotRun       int                `json:"not_run"`
	Unknown      int                `json:"unknown"`
	FalseNotRun  int                `json:"false_not_run"` // told not-run, but it ran
	DoubleRuns   int                `json:"double_runs"`   // non-idempotent keys that ran more than once
	WrongAnswers int                `json:"wrong_answers"` // answers that are not those of the request
	Operations   []OperationSummary `json:"operations"`
	Regions      []RegionSummary    `json:"regions"`
	Links        []LinkSummary      `json:"links"`
	DrainMs      int64              `json:"drain_ms"` // longest planned stop of an entry VM
}

// OperationSummary is what callers saw of one operation.
type OperationSummary struct {
	Name     steering.OperationName `json:"name"`
	Requests int                    `json:"requests"`
	Done     int                    `json:"done"`
	P50Ms    float64                `json:"p50_ms"`
	P99Ms    float64                `json:"p99_ms"`
	P999Ms   float64                `json:"p999_ms"`
	Refusals map[string]int         `json:"refusals"` // not-run, by reason
}

// RegionSummary is the most that a service's servers of one region had at a time.
type RegionSummary struct {
	Name          steering.RegionName  `json:"name"`
	Service       steering.ServiceName `json:"service"`
	PeakSlots     int64                `json:"peak_slots"`
	CapacitySlots int                  `json:"capacity_slots"`
}

// LinkSummary is the busiest second of one direction of a link.
type LinkSummary struct {
	From         steering.RegionName `json:"from"`
	To           steering.RegionName `json:"to"`
	PeakMbit     float64             `json:"peak_mbit_s"`
	CapacityMbit float64             `json:"capacity_mbit_s"`
}

func (w *world) noteDrain(took time.Duration) {
	for {
		old := w.drained.Load()
		if int64(took) <= old || w.drained.CompareAndSwap(old, int64(took)) {
			return
		}
	}
}

// summarize compares the tallies with the ledgers of the upstreams.
func (w *world) summarize(tallies map[steering.OperationName]*tally) *Summary {
	s := &Summary{
		Deployment: w.deployment.name, Seed: w.opts.Seed, Faults: append([]string{}, w.opts.Faults...),
		DrainMs: time.Duration(w.drained.Load()).Milliseconds(),
	}
	ledgers := make([]standin.Ledger, len(w.upstreams))
	ran := make(map[string]bool)
	for i, u := range w.upstreams {
		ledgers[i] = u.standin.Ledger()
		for _, run := range ledgers[i].Runs {
			ran[run.Key] = true
		}
	}
	s.DoubleRuns = len(standin.Doubled(ledgers...))
	for name, t := range tallies {
		s.add(name, t, ran)
	}
	sort.Slice(s.Operations, func(i, j int) bool { return s.Operations[i].Name < s.Operations[j].Name })
	for _, g := range w.gauges {
		s.Regions = append(s.Regions, RegionSummary{
			Name: g.region, Service: g.service, PeakSlots: g.peak.Load(), CapacitySlots: g.capacity,
		})
	}
	for _, l := range w.deployment.config.Platform.Links {
		s.Links = append(s.Links, LinkSummary{
			From: l.From, To: l.To, CapacityMbit: l.CapacityMbit, PeakMbit: w.network.links[linkKey{l.From, l.To}].peakMbit(),
		})
	}
	return s
}

func (s *Summary) add(name steering.OperationName, t *tally, ran map[string]bool) {
	s.Requests += t.requests
	s.Done += t.done
	s.Unknown += t.unknown
	s.WrongAnswers += t.wrong
	s.NotRun += len(t.notRun)
	for _, key := range t.notRun {
		if key != "" && ran[key] {
			s.FalseNotRun++
		}
	}
	s.Operations = append(s.Operations, OperationSummary{
		Name: name, Requests: t.requests, Done: t.done, Refusals: t.refusals,
		P50Ms: t.quantileMs(50), P99Ms: t.quantileMs(99), P999Ms: t.quantileMs(99.9),
	})
}

func (t *tally) quantileMs(percent float64) float64 {
	const microsPerMs = 1000
	return float64(t.latency.ValueAtQuantile(percent)) / microsPerMs
}

// WriteText writes the summary for people.
func (s *Summary) WriteText(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(out, "%s, seed %d: %d requests, %d done, %d refused before they ran, %d of unknown outcome\n",
		s.Deployment, s.Seed, s.Requests, s.Done, s.NotRun, s.Unknown)
	_, _ = fmt.Fprintf(out, "by the upstreams' own ledgers: %d ran twice, %d refused although they ran, %d wrong answers\n\n",
		s.DoubleRuns, s.FalseNotRun, s.WrongAnswers)
	_, _ = fmt.Fprintln(w, "operation\trequests\tdone\tp50 ms\tp99 ms\tp99.9 ms\t")
	for _, o := range s.Operations {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%.1f\t%.1f\t%.1f\t\n", o.Name, o.Requests, o.Done, o.P50Ms, o.P99Ms, o.P999Ms)
	}
	_, _ = fmt.Fprintln(w, "\nregion\tservice\tpeak slots\tof\t")
	for _, r := range s.Regions {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t\n", r.Name, r.Service, r.PeakSlots, r.CapacitySlots)
	}
	_, _ = fmt.Fprintln(w, "\nfrom\tto\tpeak Mbit/s\tof\t")
	for _, l := range s.Links {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%.1f\t%.0f\t\n", l.From, l.To, l.PeakMbit, l.CapacityMbit)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "\nplanned stop of an entry VM: %d ms, nothing cut\n", s.DrainMs)
	return err
}
