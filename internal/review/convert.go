package review

import (
	"strings"
	"time"

	"github.com/azureflow/azureflow/internal/review/recordpb"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// maxTextBytes bounds each text of a record in a batch; longer ones are cut.
const maxTextBytes = 1024

// text returns s as a batch may carry it: valid UTF-8 of bounded length.
func text[T ~string](s T) string {
	plain := string(s)
	if len(plain) > maxTextBytes {
		plain = plain[:maxTextBytes]
	}
	return strings.ToValidUTF8(plain, "?")
}

func fromUnixNano(ns int64) time.Time { return time.Unix(0, ns).UTC() }

func batchToProto(b *Batch) *recordpb.Batch {
	m := &recordpb.Batch{Digest: b.Digest}
	for _, r := range b.Records {
		m.Records = append(m.Records, recordToProto(r))
	}
	for i := range b.Counts {
		m.Counts = append(m.Counts, countToProto(&b.Counts[i]))
	}
	for i := range b.Coverage {
		m.Coverage = append(m.Coverage, coverageToProto(&b.Coverage[i]))
	}
	return m
}

func batchFromProto(m *recordpb.Batch) *Batch {
	b := &Batch{Digest: m.GetDigest()}
	for _, r := range m.GetRecords() {
		b.Records = append(b.Records, recordFromProto(r))
	}
	for _, c := range m.GetCounts() {
		b.Counts = append(b.Counts, countFromProto(c))
	}
	for _, c := range m.GetCoverage() {
		b.Coverage = append(b.Coverage, coverageFromProto(c))
	}
	return b
}

func recordToProto(r *Record) *recordpb.Record {
	m := &recordpb.Record{
		Id:          text(r.ID),
		Parent:      text(r.Parent),
		Kind:        text(r.Kind),
		AtUnixNs:    r.At.UnixNano(),
		TookNs:      int64(r.Took),
		Vm:          text(r.VM),
		Incarnation: uint64(r.Incarnation),
		Service:     text(r.Service),
		Operation:   text(r.Operation),
		Origin:      text(r.Origin),
		Revision:    uint64(r.Revision),
		PlanEpoch:   r.PlanEpoch,
		Grant:       r.Grant,
		Constraint:  text(r.Constraint),
		Result:      text(r.Result),
		Outcome:     text(r.Outcome),
		TraceId:     text(r.TraceID),
	}
	for _, input := range r.Inputs {
		m.Inputs = append(m.Inputs, &recordpb.Input{
			Name: text(input.Name), Value: text(input.Value), AgeNs: int64(input.Age),
		})
	}
	for _, c := range r.Candidates {
		m.Candidates = append(m.Candidates, &recordpb.Candidate{
			Name: text(c.Name), Taken: c.Taken, Reason: text(c.Reason), Score: c.Score,
		})
	}
	return m
}

func recordFromProto(m *recordpb.Record) *Record {
	r := &Record{
		ID:          ID(m.GetId()),
		Parent:      ID(m.GetParent()),
		Kind:        Kind(m.GetKind()),
		At:          fromUnixNano(m.GetAtUnixNs()),
		Took:        time.Duration(m.GetTookNs()),
		VM:          vm.Name(m.GetVm()),
		Incarnation: vm.Incarnation(m.GetIncarnation()),
		Service:     steering.ServiceName(m.GetService()),
		Operation:   steering.OperationName(m.GetOperation()),
		Origin:      steering.RegionName(m.GetOrigin()),
		Revision:    steering.Revision(m.GetRevision()),
		PlanEpoch:   m.GetPlanEpoch(),
		Grant:       m.GetGrant(),
		Constraint:  Constraint(m.GetConstraint()),
		Result:      m.GetResult(),
		Outcome:     m.GetOutcome(),
		TraceID:     m.GetTraceId(),
	}
	for _, i := range m.GetInputs() {
		r.Inputs = append(r.Inputs, Input{
			Name: i.GetName(), Value: i.GetValue(), Age: time.Duration(i.GetAgeNs()),
		})
	}
	for _, c := range m.GetCandidates() {
		r.Candidates = append(r.Candidates, Candidate{
			Name: c.GetName(), Taken: c.GetTaken(), Reason: c.GetReason(), Score: c.GetScore(),
		})
	}
	return r
}

func countToProto(c *Count) *recordpb.Count {
	return &recordpb.Count{
		Vm:         text(c.VM),
		Kind:       text(c.Kind),
		Service:    text(c.Service),
		Operation:  text(c.Operation),
		Constraint: text(c.Constraint),
		Result:     text(c.Result),
		Outcome:    text(c.Outcome),
		Records:    c.Records,
		FromUnixNs: c.From.UnixNano(),
		ToUnixNs:   c.To.UnixNano(),

		Incarnation: uint64(c.Incarnation),
		Source:      string(c.Source),
	}
}

func countFromProto(m *recordpb.Count) Count {
	return Count{
		VM:         vm.Name(m.GetVm()),
		Kind:       Kind(m.GetKind()),
		Service:    steering.ServiceName(m.GetService()),
		Operation:  steering.OperationName(m.GetOperation()),
		Constraint: Constraint(m.GetConstraint()),
		Result:     m.GetResult(),
		Outcome:    m.GetOutcome(),
		Records:    m.GetRecords(),
		From:       fromUnixNano(m.GetFromUnixNs()),
		To:         fromUnixNano(m.GetToUnixNs()),

		Incarnation: vm.Incarnation(m.GetIncarnation()),
		Source:      CoverageSource(m.GetSource()),
	}
}

func coverageToProto(c *Coverage) *recordpb.Coverage {
	return &recordpb.Coverage{
		Vm:          text(c.VM),
		Incarnation: uint64(c.Incarnation),
		FromUnixNs:  c.From.UnixNano(),
		ToUnixNs:    c.To.UnixNano(),
		Dropped:     c.Dropped,
		SampledOut:  c.SampledOut,
		Source:      string(c.Source),
	}
}

func coverageFromProto(m *recordpb.Coverage) Coverage {
	return Coverage{
		VM:          vm.Name(m.GetVm()),
		Incarnation: vm.Incarnation(m.GetIncarnation()),
		From:        fromUnixNano(m.GetFromUnixNs()),
		To:          fromUnixNano(m.GetToUnixNs()),
		Dropped:     m.GetDropped(),
		SampledOut:  m.GetSampledOut(),
		Source:      CoverageSource(m.GetSource()),
	}
}
