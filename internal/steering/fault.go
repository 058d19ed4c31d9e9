package steering

import (
	"cmp"
	"fmt"
	"slices"
)

// Position is a position in a file. Line and Column count from 1, Column in bytes.
type Position struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
}

// String returns file:line:col.
func (p Position) String() string { return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column) }

// Fault is an error or a warning in a file.
type Fault struct {
	Position
	// Path leads to the value within the file, for example operations[0].deadline.
	Path string `json:"path,omitempty"`
	// Found is what the file contains there.
	Found string `json:"found"`
	// Allowed is what the file may contain there; in a warning it is the consequence or advice.
	Allowed string `json:"allowed"`
}

// Error implements error.
func (f *Fault) Error() string {
	if f.Path == "" {
		return fmt.Sprintf("%s: found %s; allowed: %s", f.Position, f.Found, f.Allowed)
	}
	return fmt.Sprintf("%s: %s: found %s; allowed: %s", f.Position, f.Path, f.Found, f.Allowed)
}

// Warning returns the text of f as a warning: the value is allowed, but its effect may be unexpected.
func (f *Fault) Warning() string {
	return fmt.Sprintf("%s: warning: %s: %s; %s", f.Position, f.Path, f.Found, f.Allowed)
}

// Report is the result of reading files: every fault and every warning, sorted by position.
type Report struct {
	Faults   []Fault `json:"faults"`
	Warnings []Fault `json:"warnings"`
}

// OK reports whether there are no faults. Warnings do not count.
func (r *Report) OK() bool { return len(r.Faults) == 0 }

// Err returns nil, or *FaultsError if there are faults.
func (r *Report) Err() error {
	if r.OK() {
		return nil
	}
	return &FaultsError{Faults: r.Faults}
}

func (r *Report) fault(p Position, path, found, allowed string) {
	r.Faults = append(r.Faults, Fault{Position: p, Path: path, Found: found, Allowed: allowed})
}

func (r *Report) warn(p Position, path, found, advice string) {
	r.Warnings = append(r.Warnings, Fault{Position: p, Path: path, Found: found, Allowed: advice})
}

func (r *Report) sort() {
	slices.SortStableFunc(r.Faults, compareFaults)
	slices.SortStableFunc(r.Warnings, compareFaults)
}

func compareFaults(a, b Fault) int {
	return cmp.Or(
		cmp.Compare(a.File, b.File),
		cmp.Compare(a.Line, b.Line),
		cmp.Compare(a.Column, b.Column),
		cmp.Compare(a.Path, b.Path),
	)
}

// FaultsError reports the faults of files. Its text contains the first one.
type FaultsError struct{ Faults []Fault }

// Error implements error.
func (e *FaultsError) Error() string {
	if len(e.Faults) == 0 {
		return "no faults"
	}
	if len(e.Faults) == 1 {
		return e.Faults[0].Error()
	}
	return fmt.Sprintf("%s (and %d more)", e.Faults[0].Error(), len(e.Faults)-1)
}
