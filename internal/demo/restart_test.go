package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"math"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azureflow/azureflow/examples"
	"github.com/azureflow/azureflow/internal/region"
	"github.com/azureflow/azureflow/internal/review"
	"github.com/azureflow/azureflow/internal/steering"
)

// editedTree returns the files of sohar with one text of certdesk's file replaced.
func editedTree(t *testing.T, old, replacement string) *steering.Tree {
	t.Helper()
	dir := t.TempDir()
	if err := os.CopyFS(dir, examples.Files); err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(dir, "sohar", "certdesk", "certdesk.steering.jsonc")
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Contains(text, []byte(old)) {
		t.Fatalf("%s holds no %s", file, old)
	}
	if err := os.WriteFile(file, bytes.Replace(text, []byte(old), []byte(replacement), 1), 0o600); err != nil {
		t.Fatal(err)
	}
	tree, report := steering.LoadTree([]string{filepath.Join(dir, "sohar")})
	if err := report.Err(); err != nil {
		t.Fatal(err)
	}
	return tree
}

// plansOf returns the plans of a service that an entry VM recorded since from, oldest first.
func plansOf(t *testing.T, e *entryVM, service steering.ServiceName, from time.Time) []region.Plan {
	t.Helper()
	records, _ := e.daemon.Records().Range(service, from, time.Now().Add(time.Second), 1000)
	var plans []region.Plan
	for _, r := range records {
		if r.Kind != review.KindPlan && r.Kind != review.KindShift {
			continue
		}
		var p region.Plan
		if err := json.Unmarshal([]byte(inputOf(r, "plan")), &p); err != nil {
			t.Fatal(err)
		}
		plans = append(plans, p)
	}
	return plans
}

// TestRestartInTheMiddleOfAShift: an entry VM restarts while a region is drained. Its first plan goes on
// where its peers are.
func TestRestartInTheMiddleOfAShift(t *testing.T) {
	t.Parallel()
	// 20% in 5 s: whatever the newcomer does within a second is bounded by that pace.
	const paceOfASecond = 0.2 / 5
	tree := editedTree(t, `"floor"`, `"drains": [{"region": "dhofar", "start": "2000-01-01T00:00:20Z"}], "floor"`)
	synctest.Test(t, func(t *testing.T) {
		w := startVirtual(t, "sohar")
		began := time.Now()
		if _, err := w.publishTree(context.Background(), tree); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Until(time.Date(2000, 1, 1, 0, 0, 30, 300e6, time.UTC)))
		victim := w.victim()
		w.drain(victim)
		restarted := time.Now()
		if err := w.startEntry(len(w.entries)-1, victim.row.Zone); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3500 * time.Millisecond)
		first := plansOf(t, w.victim(), "certdesk", restarted)
		if len(first) == 0 {
			t.Fatal("the restarted VM recorded no plan")
		}
		got := first[0].Origin("dhofar").ShareOf("dhofar")
		was := sharesAt(t, w.entries[0], began, first[0].At)
		t.Logf("%v after its start the VM leaves dhofar %.3f of its callers, its peers %.3f", first[0].At.Sub(restarted), got, was)
		if was < 0.05 || was > 0.95 {
			t.Fatalf("no shift is under way: peers are at %.3f", was)
		}
		if math.Abs(got-was) > paceOfASecond+1e-9 {
			t.Errorf("first plan leaves dhofar %.3f, peers' %.3f", got, was)
		}
		w.stop()
		time.Sleep(time.Minute)
	})
}

// sharesAt returns the share that the plan of e in force at the time at leaves dhofar of its own callers.
func sharesAt(t *testing.T, e *entryVM, from, at time.Time) float64 {
	share := 1.0
	for _, p := range plansOf(t, e, "certdesk", from.Add(-time.Minute)) {
		if !p.At.After(at) {
			share = p.Origin("dhofar").ShareOf("dhofar")
		}
	}
	return share
}
