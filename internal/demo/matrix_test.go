package demo

import (
	"flag"
	"fmt"
	"os"
	"runtime/debug"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite golden files and docs/fault-matrix.md")

// TestFaultMatrix injects every fault at every step and checks every promise. With -update it writes
// docs/fault-matrix.md.
func TestFaultMatrix(t *testing.T) {
	if testing.Short() || raceEnabled {
		t.Skip("runs hundreds of sessions; .ci/test runs it without the race detector")
	}
	const garbagePercent = 400 // the sessions are small: memory for time
	defer debug.SetGCPercent(debug.SetGCPercent(garbagePercent))
	results := make([][]string, len(matrixSteps))
	t.Run("cells", func(t *testing.T) {
		for i := range matrixSteps {
			results[i] = make([]string, len(matrixFaults))
			for j := range matrixFaults {
				results[i][j] = "not run, see KNOWN-RED.txt"
				runCell(t, &matrixSteps[i], &matrixFaults[j], &results[i][j])
			}
		}
	})
	t.Run("defects", testDefects)
	if *update && !t.Failed() {
		writeMatrix(t, results)
	}
}

// runCell runs a cell as a subtest beside the others and notes its result.
func runCell(t *testing.T, step *matrixStep, fault *matrixFault, result *string) {
	t.Run(strings.ReplaceAll(step.name+"/"+fault.name, " ", "-"), func(t *testing.T) {
		t.Parallel()
		c := &cell{step: step, fault: fault}
		wrong := c.run(t)
		*result = "held"
		if len(wrong) > 0 {
			*result = fmt.Sprint(wrong)
		}
		for _, w := range wrong {
			t.Error(w)
		}
	})
}

const matrixPreamble = `# Fault matrix

Written by ` + "`go test ./internal/demo -run '^TestFaultMatrix$' -update`" + `. Each cell is a session of 7 entry VMs, 18 upstreams,
the platform and 24 callers in virtual time with the fault injected at the step. Held means, by what the stand-ins and
callers saw:

- no plan that an entry VM followed moved more than the operators' cap in a sliding window, and no more requests ran
  outside their caller's region than that allows;
- no region was over its slots, no answer was wrong, no refusal that says not-run was false, no key ran twice;
- a leaving upstream got nothing after 3 s; a stopping entry VM closed no connection on which it owed an answer;
- no revision went back, and each accepted one was in force within 5 s of its acceptance or of the fault's end;
- entry VMs that live explain sampled decisions of refused and unknown requests, or name the VM whose records are missing.

"twice": broken for 2 s, whole for 1 s, broken for 2 s. Every fault can occur at every step.

`

// writeMatrix writes docs/fault-matrix.md.
func writeMatrix(t *testing.T, results [][]string) {
	var b strings.Builder
	b.WriteString(matrixPreamble + "| step |")
	for _, f := range matrixFaults {
		b.WriteString(" " + f.name + " |")
	}
	b.WriteString("\n|---|" + strings.Repeat("---|", len(matrixFaults)) + "\n")
	for i, s := range matrixSteps {
		b.WriteString("| " + s.name + " |")
		for j := range matrixFaults {
			b.WriteString(" " + results[i][j] + " |")
		}
		b.WriteString("\n")
	}
	b.WriteString("\n## Deliberate defects\n\nEach is built in behind a seam of the test; the checks then report this promise as broken, and no other.\n\n" +
		"| defect | promise | cell |\n|---|---|---|\n")
	for _, d := range matrixDefects {
		fmt.Fprintf(&b, "| %s | %s | %s, %s |\n", d.name, d.promise, d.step, d.fault)
	}
	if err := os.WriteFile("../../docs/fault-matrix.md", []byte(b.String()), 0o644); err != nil {
		t.Error(err)
	}
}
