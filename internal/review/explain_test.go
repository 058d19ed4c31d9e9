package review

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

func TestExplainGathersRecordsOfAllVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3)
		e1, e2 := f.nodes[0].log, f.nodes[1].log
		e1.Record(&Record{Kind: KindPlan, Service: "certdesk", PlanEpoch: 88, Revision: 12, Constraint: ConstraintCap, Result: "batinah 0.6, muscat 0.4"})
		time.Sleep(20 * time.Second)
		lookup := e2.NextID()
		e2.Record(&Record{ID: lookup, Kind: KindLookup, Service: "certdesk", Origin: "batinah", Revision: 12, Constraint: ConstraintNone, Result: "e1"})
		time.Sleep(3 * time.Millisecond)
		id := recordRequest(e1, "certdesk", "u1", outcomeDone, 12*time.Millisecond)
		e1.Record(&Record{Kind: KindAttempt, Parent: id, Service: "certdesk", Constraint: ConstraintNone, Result: "u2", Inputs: []Input{{Name: "lookup", Value: string(lookup)}}})
		time.Sleep(time.Second)
		sources := f.sources(nil)
		sources.Recompute = func(r *Record) (bool, string) { return r.PlanEpoch == 88, "" }
		explanation, err := Explain(t.Context(), sources, id)
		if err != nil {
			t.Fatal(err)
		}
		var kinds []Kind
		for i, step := range explanation.Steps {
			kinds = append(kinds, step.Record.Kind)
			if i > 0 && step.At.Before(explanation.Steps[i-1].At) {
				t.Errorf("step %d is out of order", i)
			}
		}
		if len(explanation.Steps) != 5 || kinds[0] != KindPlan || kinds[1] != KindLookup {
			t.Fatalf("steps %v", kinds)
		}
		if len(explanation.VMs) != 2 || len(explanation.Recomputed) != 1 || !explanation.Recomputed[0].Agrees {
			t.Fatalf("VMs %v, recomputed %+v", explanation.VMs, explanation.Recomputed)
		}
		if !explanation.Missing.IsEmpty() {
			t.Errorf("missing %+v", explanation.Missing)
		}
		var text strings.Builder
		if err := explanation.WriteText(&text); err != nil {
			t.Fatal(err)
		}
		t.Log("\n" + text.String())
		if _, err := json.Marshal(explanation); err != nil {
			t.Fatal(err)
		}
	})
}

// The mirror has the records of a killed VM until one second before it was killed.
func TestExplainAfterLosingAVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(4)
		f.start(t)
		time.Sleep(5*time.Second + 7*time.Millisecond) // not at the instant at which mirrors create a batch
		from := time.Now()
		id := recordRequest(f.nodes[1].log, "certdesk", "u1", outcomeUnknown, 12*time.Millisecond)
		for range 30 {
			recordRefusal(f.nodes[1].log, "certdesk", ConstraintCap)
			recordRefusal(f.nodes[2].log, "certdesk", ConstraintContract)
			recordRequest(f.nodes[1].log, "certdesk", "u1", outcomeDone, time.Millisecond)
		}
		time.Sleep(time.Second)
		killed := time.Now()
		f.kill(1)
		time.Sleep(10 * time.Second)
		explanation, err := Explain(t.Context(), f.sources(nil), id)
		if err != nil {
			t.Fatal(err)
		}
		if len(explanation.Steps) != 2 || explanation.Outcome != outcomeUnknown {
			t.Fatalf("explanation %+v", explanation)
		}
		incident, err := ExplainRange(t.Context(), f.sources(nil), "certdesk", from, time.Now())
		if err != nil {
			t.Fatal(err)
		}
		if incident.Refused != 60 || incident.Unknown != 1 || incident.Done != 30 {
			t.Errorf("%d refused, %d unknown, %d done", incident.Refused, incident.Unknown, incident.Done)
		}
		var gap *Gap
		for i, g := range incident.Missing.Gaps {
			if g.VM == "e2" {
				gap = &incident.Missing.Gaps[i]
			}
		}
		if gap == nil || killed.Sub(gap.From) > 4*time.Second || !strings.Contains(gap.Note, "does not answer") {
			t.Errorf("gaps %+v, killed at %v", incident.Missing.Gaps, killed)
		}
		var text strings.Builder
		if err := incident.WriteText(&text); err != nil {
			t.Fatal(err)
		}
		t.Log("\n" + text.String())
	})
}

func TestExplainUnknownDecision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		f.start(t)
		time.Sleep(5 * time.Second)
		f.kill(1)
		_, err := Explain(t.Context(), f.sources(nil), "e2.1.999")
		var unknown *UnknownDecisionError
		if !errors.As(err, &unknown) || len(unknown.Missing.Gaps) == 0 {
			t.Fatalf("error %v", err)
		}
		_, err = ExplainRange(t.Context(), f.sources(nil), "", time.Now(), time.Now())
		var empty *TimeRangeError
		if !errors.As(err, &empty) {
			t.Fatalf("error %v", err)
		}
	})
}

// The plan that a request followed is found although thousands of routine records follow it.
func TestPlanIsFoundBehindManyRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		l := f.nodes[0].log
		l.Record(&Record{Kind: KindPlan, Service: "certdesk", PlanEpoch: 88, Result: "batinah 0.6, muscat 0.4"})
		var id ID
		for range 8000 {
			id = recordRequest(l, "certdesk", "u1", outcomeDone, time.Millisecond)
			time.Sleep(time.Millisecond)
		}
		explanation, err := Explain(t.Context(), f.sources(nil), id)
		if err != nil {
			t.Fatal(err)
		}
		if explanation.Steps[0].Role != RoleBasis || explanation.Steps[0].Record.Kind != KindPlan {
			t.Errorf("first step %+v", explanation.Steps[0])
		}
	})
}

// A mirror samples the records that exceed its budget. Once the VM is lost, the error of Explain reports that.
func TestExplainReportsSampledOutRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		f.mirrorBytes = 2 << 10
		f.start(t)
		var ids []ID
		for range 2000 {
			ids = append(ids, recordRequest(f.nodes[0].log, "certdesk", "u1", outcomeDone, time.Millisecond))
			time.Sleep(time.Millisecond)
		}
		time.Sleep(2500 * time.Millisecond)
		f.kill(0)
		lost := 0
		for i := 0; i < len(ids); i += 100 {
			_, err := Explain(t.Context(), f.sources(nil), ids[i])
			if err == nil {
				continue
			}
			lost++
			var unknown *UnknownDecisionError
			if !errors.As(err, &unknown) || unknown.SampledOut() == 0 || !strings.Contains(err.Error(), "sampled out") {
				t.Fatalf("error %v", err)
			}
		}
		if lost == 0 {
			t.Fatal("every record was retained, want some sampled out")
		}
	})
}

func TestPlanInputsAreNotTruncated(t *testing.T) {
	inputs := strings.Repeat("x", 20<<10)
	data, err := EncodeBatch(&Batch{Records: []*Record{{ID: "e1.1.1", Inputs: []Input{{Name: "plan_inputs", Value: inputs}}}}})
	if err != nil {
		t.Fatal(err)
	}
	batch, err := DecodeBatch(data)
	if err != nil || batch.Records[0].Inputs[0].Value != inputs {
		t.Fatalf("inputs were truncated, error %v", err)
	}
}
