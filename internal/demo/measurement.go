package demo

import (
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"

	"github.com/azureflow/azureflow/internal/steering"
)

// Measurement is what an experiment measured.
type Measurement struct {
	Experiment *Experiment  `json:"experiment"`
	Runs       [][]*Summary `json:"runs"` // by variant, then by seed
}

// Spread is the middle and the ends of a figure over the seeds.
type Spread struct {
	Least  float64 `json:"least"`
	Median float64 `json:"median"`
	Most   float64 `json:"most"`
}

// Row is one variant's figures of one operation.
type Row struct {
	Variant   string                 `json:"variant"`
	Operation steering.OperationName `json:"operation"`
	Requests  int                    `json:"requests"` // over all seeds
	DoneShare float64                `json:"done_share"`
	P50Ms     Spread                 `json:"p50_ms"`
	P99Ms     Spread                 `json:"p99_ms"`
	P999Ms    Spread                 `json:"p999_ms"`
	Ratio     Spread                 `json:"p99_ratio"` // to the first variant, seed by seed
}

// spreadOf returns the spread of values; there must be at least one.
func spreadOf(values []float64) Spread {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return Spread{Least: sorted[0], Median: sorted[len(sorted)/2], Most: sorted[len(sorted)-1]}
}

// Rows returns the figures by operation, then by variant.
func (m *Measurement) Rows() []Row {
	var rows []Row
	for _, operation := range m.Experiment.Operations {
		for i := range m.Experiment.Variants {
			rows = append(rows, m.row(i, operation))
		}
	}
	return rows
}

func (m *Measurement) row(variant int, operation steering.OperationName) Row {
	row := Row{Variant: m.Experiment.Variants[variant].Name, Operation: operation}
	var p50, p99, p999, ratios []float64
	done := 0
	for seed, summary := range m.Runs[variant] {
		o := summary.operation(operation)
		row.Requests += o.Requests
		done += o.Done
		p50 = append(p50, o.P50Ms)
		p99 = append(p99, o.P99Ms)
		p999 = append(p999, o.P999Ms)
		ratios = append(ratios, o.P99Ms/m.Runs[0][seed].operation(operation).P99Ms)
	}
	row.DoneShare = float64(done) / float64(max(1, row.Requests))
	row.P50Ms, row.P99Ms, row.P999Ms = spreadOf(p50), spreadOf(p99), spreadOf(p999)
	row.Ratio = spreadOf(ratios)
	return row
}

// operation returns the figures of an operation, zero if nobody used it.
func (s *Summary) operation(name steering.OperationName) OperationSummary {
	for _, o := range s.Operations {
		if o.Name == name {
			return o
		}
	}
	return OperationSummary{Name: name}
}

// busiestLink returns the highest share of its capacity that any link carried in a second.
func (s *Summary) busiestLink() float64 {
	busiest := 0.0
	for _, l := range s.Links {
		busiest = math.Max(busiest, l.PeakMbit/l.CapacityMbit)
	}
	return busiest
}

// busiestRegion returns the highest share of its slots that any region had in use.
func (s *Summary) busiestRegion() float64 {
	busiest := 0.0
	for _, r := range s.Regions {
		busiest = math.Max(busiest, float64(r.PeakSlots)/float64(r.CapacitySlots))
	}
	return busiest
}

// broken counts the requests that broke a promise: run twice, refused although they ran, wrong answer.
func (s *Summary) broken() int { return s.DoubleRuns + s.FalseNotRun + s.WrongAnswers }

// WriteText writes the tables for people; figures are median [least, most] over the seeds.
func (m *Measurement) WriteText(out io.Writer) error {
	e := m.Experiment
	_, _ = fmt.Fprintf(out, "%s: %s\n%s at %.0f%% of its peak, seeds 1 to %d; median [least, most]\n\n",
		e.Name, e.About, e.Deployment, 100*e.Load, len(m.Runs[0]))
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "operation\tvariant\trequests\tdone\tp50 ms\tp99 ms\tp99.9 ms\tp99 ratio")
	for _, r := range m.Rows() {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%.2f%%\t%.1f\t%s\t%s\t%s\n", r.Operation, r.Variant, r.Requests,
			100*r.DoneShare, r.P50Ms.Median, r.P99Ms.text("%.0f"), r.P999Ms.text("%.0f"), r.Ratio.text("%.2f"))
	}
	_, _ = fmt.Fprintln(w, "\nvariant\tbusiest link\tbusiest region\tplanned stop ms\tunknown\tbroken promises")
	for i := range e.Variants {
		m.writeHeadroom(w, i)
	}
	return w.Flush()
}

func (m *Measurement) writeHeadroom(w io.Writer, variant int) {
	var links, regions, drains []float64
	unknown, broken := 0, 0
	for _, s := range m.Runs[variant] {
		links = append(links, s.busiestLink())
		regions = append(regions, s.busiestRegion())
		drains = append(drains, float64(s.DrainMs))
		unknown += s.Unknown
		broken += s.broken()
	}
	_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\n", m.Experiment.Variants[variant].Name, spreadOf(links).text("%.3f"),
		spreadOf(regions).text("%.2f"), spreadOf(drains).text("%.0f"), unknown, broken)
}

func (s Spread) text(format string) string {
	return fmt.Sprintf(format+" ["+format+", "+format+"]", s.Median, s.Least, s.Most)
}
