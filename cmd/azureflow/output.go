package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
)

// format chooses between text for people and JSON for scripts.
type format struct {
	Format string `help:"Output: text or json." enum:"text,json" default:"text"`
}

func (f format) json() bool { return f.Format == "json" }

// printJSON writes v as one indented JSON value to standard output.
func printJSON(v any) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// table prints rows in aligned columns.
type table struct{ w *tabwriter.Writer }

func newTable(w io.Writer, head ...string) table {
	t := table{w: tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)}
	t.row(head...)
	return t
}

func (t table) row(cells ...string) { _, _ = fmt.Fprintln(t.w, strings.Join(cells, "\t")) }

func (t table) flush() { _ = t.w.Flush() }
