package demo

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azureflow/azureflow/internal/review"
)

// TestExplainNamesThePlan: minutes after the last change of a plan, the explanation of a request names the
// plan that it followed and computes it again.
func TestExplainNamesThePlan(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		w := startVirtual(t, "sohar")
		s := &story{began: time.Now()}
		const inForce = 330 * time.Second // longer than a review looks back for a plan
		s.begin(inForce, "callers of every region use every operation")
		s.serveAll(w, 1)
		time.Sleep(2 * time.Second)
		checked := 0
		for _, e := range w.entries {
			records, _ := e.daemon.Records().Range("", s.began.Add(inForce), time.Now(), 1000)
			for _, r := range records {
				if r.Kind != review.KindRequest || r.PlanEpoch == 0 {
					continue
				}
				checked++
				w.checkExplained(t, r)
			}
		}
		if checked < 12 {
			t.Errorf("%d requests explained, want one for each operation and region", checked)
		}
		w.stop()
		time.Sleep(time.Minute)
	})
}

// checkExplained explains a request at the administration API of another entry VM.
func (w *world) checkExplained(t *testing.T, r *review.Record) {
	t.Helper()
	at := w.entries[0]
	if at.row.Name == r.VM {
		at = w.entries[1]
	}
	operator := w.operator()
	defer operator.CloseIdleConnections()
	var told review.Explanation
	if err := at.get(context.Background(), operator, "/v1/explain?format=json&id="+string(r.ID), &told); err != nil {
		t.Error(err)
		return
	}
	var plan *review.Record
	for _, step := range told.Steps {
		if step.Role == review.RoleBasis && step.Record.Kind != review.KindGrant {
			plan = step.Record
		}
	}
	if plan == nil || plan.VM != r.VM || plan.Service != r.Service || plan.PlanEpoch > r.PlanEpoch {
		t.Errorf("%s of %s followed plan %d; told as its basis: %+v", r.Operation, r.VM, r.PlanEpoch, plan)
		return
	}
	for _, again := range told.Recomputed {
		if again.Decision == plan.ID && again.Agrees {
			return
		}
	}
	t.Errorf("plan %s was not computed again, or differs: %+v", plan.ID, told.Recomputed)
}
