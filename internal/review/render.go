package review

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// clockFormat is the format of a time of day in an explanation.
const clockFormat = "15:04:05.000"

// printer writes lines and retains the first error.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

// WriteText writes the explanation as human-readable text.
func (e *Explanation) WriteText(w io.Writer) error {
	p := &printer{w: w}
	p.line("Decision %s", e.ID)
	p.line("%s", e.headline())
	p.line("%s, revision %d. Entry VMs that took part: %s.",
		e.StartedAt.UTC().Format(time.DateOnly), e.Revision, joinNames(e.VMs))
	p.line("")
	for _, step := range e.Steps {
		p.step(step)
	}
	p.line("")
	p.recomputed(e.Recomputed)
	p.missing(&e.Missing)
	return p.err
}

func (e *Explanation) headline() string {
	var parts []string
	if e.Service != "" {
		parts = append(parts, strings.TrimSpace(string(e.Service)+" "+string(e.Operation)))
	}
	if e.Origin != "" {
		parts = append(parts, "from "+string(e.Origin))
	}
	if e.Outcome != "" {
		parts = append(parts, "outcome "+e.Outcome)
	}
	parts = append(parts, "took "+shortDuration(e.Took))
	if e.Constraint == "" || e.Constraint == ConstraintNone {
		return strings.Join(append(parts, "no constraint bound it"), ", ") + "."
	}
	return strings.Join(append(parts, "bound by "+string(e.Constraint)), ", ") + "."
}

func (p *printer) step(s Step) {
	mark := " "
	if s.Role == RoleSubject {
		mark = ">"
	}
	p.line("%s %s  %10s  %-8s %s", mark, s.At.UTC().Format(clockFormat), offsetText(s.Offset), s.Record.VM, s.Text)
	for _, line := range reasonLines(s.Record) {
		p.line("%38s%s", "", line)
	}
}

func offsetText(d time.Duration) string {
	if d >= 0 {
		return "+" + shortDuration(d)
	}
	return shortDuration(d)
}

// WriteText writes the incident as human-readable text.
func (i *Incident) WriteText(w io.Writer) error {
	p := &printer{w: w}
	name := string(i.Service)
	if name == "" {
		name = "all services"
	}
	p.line("%s from %s to %s", name, i.From.UTC().Format(timeFormat), i.To.UTC().Format(timeFormat))
	about := ""
	if i.Approximate {
		about = "about "
	}
	p.line("Requests: %s%d done, %s%d refused (did not run), %s%d unknown (may have run).",
		about, i.Done, about, i.Refused, about, i.Unknown)
	p.steps("What changed", i.Changes)
	p.steps("What shifted", i.Shifts)
	p.constraintCounts(i.ConstraintCounts)
	p.outcomeCounts(i.OutcomeCounts)
	p.line("")
	p.recomputed(i.Recomputed)
	p.countSources(i.CountSources)
	p.missing(&i.Missing)
	return p.err
}

func (p *printer) steps(title string, steps []Step) {
	p.line("")
	if len(steps) == 0 {
		p.line("%s: nothing recorded.", title)
		return
	}
	p.line("%s:", title)
	for _, s := range steps {
		p.line("  %s  %-8s %s", s.At.UTC().Format(clockFormat), s.Record.VM, s.Text)
		for _, line := range reasonLines(s.Record) {
			p.line("%24s%s", "", line)
		}
	}
}

func (p *printer) constraintCounts(counts []ConstraintCount) {
	p.line("")
	if len(counts) == 0 {
		p.line("What bound: no constraint bound any decision.")
		return
	}
	p.line("What bound:")
	for _, b := range counts {
		p.line("  %8d  %s decisions by %s", b.Decisions, b.Kind, b.Constraint)
	}
}

func (p *printer) outcomeCounts(counts []OutcomeCount) {
	p.line("")
	if len(counts) == 0 {
		p.line("Refused or unknown: none.")
		return
	}
	p.line("Refused or unknown:")
	for _, t := range counts {
		p.line("  %8d  %s %s: %s, bound by %s", t.Requests, t.Operation, orNotRecorded(t.Outcome), orNotRecorded(t.Result), orNotRecorded(string(t.Constraint)))
	}
}

func (p *printer) recomputed(list []Recomputation) {
	if len(list) == 0 {
		p.line("Plans computed again: none is recorded here.")
		return
	}
	agree := 0
	for _, r := range list {
		if r.Agrees {
			agree++
		}
	}
	p.line("Plans computed again: %d of %d come out as recorded.", agree, len(list))
	for _, r := range list {
		if !r.Agrees {
			p.line("  %s differs: %s", r.Decision, r.Detail)
		}
	}
}

func (p *printer) countSources(list []CountSource) {
	p.line("Counts are from:")
	for _, b := range list {
		p.line("  %s incarnation %d: %s, %s to %s", b.VM, b.Incarnation, sourceText(b.Source),
			b.From.UTC().Format(clockFormat), b.To.UTC().Format(clockFormat))
	}
}

func sourceText(s CoverageSource) string {
	switch s {
	case SourceVM:
		return "its own memory"
	case SourceMirror:
		return "a peer's memory"
	}
	return "digests in the store"
}

func (p *printer) missing(m *Missing) {
	if m.IsEmpty() {
		p.line("Missing: nothing that is known of.")
		return
	}
	p.line("Missing:")
	for _, g := range m.Gaps {
		p.line("  %s from %s to %s (%s): %s", g.VM, g.From.UTC().Format(clockFormat),
			g.To.UTC().Format(clockFormat), shortDuration(g.Length), g.Note)
	}
	for _, part := range m.Partials {
		p.line("  %s incarnation %d from %s to %s: %d records lost, %d counted only (%s)", part.VM, part.Incarnation,
			part.From.UTC().Format(clockFormat), part.To.UTC().Format(clockFormat),
			part.Dropped, part.SampledOut, sourceText(part.Source))
	}
	for _, f := range m.Unreachable {
		p.line("  not asked: %s (%s)", f.Source, f.Reason)
	}
	if m.Truncated {
		p.line("  more records exist than were fetched; counts are whole")
	}
}

func joinNames[T ~string](names []T) string {
	var texts []string
	for _, n := range names {
		texts = append(texts, string(n))
	}
	return strings.Join(texts, ", ")
}
