package review

import (
	"encoding/hex"
	"time"

	"github.com/azureflow/azureflow/internal/review/recordpb"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

func fromUnixNano(ns int64) time.Time { return time.Unix(0, ns).UTC() }

func recordsFromProto(m *recordpb.Batch) []*Record {
	t := textList(m.GetTexts())
	block := make([]Record, len(m.GetRecords()))
	records := make([]*Record, len(block))
	at := int64(0)
	for i, r := range m.GetRecords() {
		at += r.GetAtNs()
		block[i] = recordFromProto(r, t)
		block[i].At = fromUnixNano(at)
		records[i] = &block[i]
	}
	return records
}

func recordFromProto(m *recordpb.Record, t textList) Record {
	r := Record{
		ID:          joinID(t.at(m.GetIdPrefix()), m.GetIdNumber()),
		Parent:      joinID(t.at(m.GetParentPrefix()), m.GetParentNumber()),
		Kind:        Kind(t.at(m.GetKind())),
		Took:        time.Duration(m.GetTookNs()),
		VM:          vm.Name(t.at(m.GetVm())),
		Incarnation: vm.Incarnation(m.GetIncarnation()),
		Service:     steering.ServiceName(t.at(m.GetService())),
		Operation:   steering.OperationName(t.at(m.GetOperation())),
		Origin:      steering.RegionName(t.at(m.GetOrigin())),
		Revision:    steering.Revision(m.GetRevision()),
		PlanEpoch:   m.GetPlanEpoch(),
		Grant:       m.GetGrant(),
		Constraint:  Constraint(t.at(m.GetConstraint())),
		Result:      t.at(m.GetResult()),
		Outcome:     t.at(m.GetOutcome()),
		TraceID:     hex.EncodeToString(m.GetTraceId()),
	}
	for _, i := range m.GetInputs() {
		r.Inputs = append(r.Inputs, Input{
			Name: t.at(i.GetName()), Value: i.GetValue(), Age: time.Duration(i.GetAgeNs()),
		})
	}
	for _, c := range m.GetCandidates() {
		r.Candidates = append(r.Candidates, Candidate{
			Name: t.at(c.GetName()), Taken: c.GetTaken(), Reason: t.at(c.GetReason()), Score: c.GetScore(),
		})
	}
	return r
}

func countToProto(c *Count) *recordpb.Count {
	return &recordpb.Count{
		Vm:          sanitize(c.VM),
		Incarnation: uint64(c.Incarnation),
		Source:      string(c.Source),
		Kind:        sanitize(c.Kind),
		Service:     sanitize(c.Service),
		Operation:   sanitize(c.Operation),
		Constraint:  sanitize(c.Constraint),
		Result:      sanitize(c.Result),
		Outcome:     sanitize(c.Outcome),
		Records:     c.Records,
		FromUnixNs:  c.From.UnixNano(),
		ToUnixNs:    c.To.UnixNano(),
	}
}

func countFromProto(m *recordpb.Count) Count {
	return Count{
		VM:          vm.Name(m.GetVm()),
		Incarnation: vm.Incarnation(m.GetIncarnation()),
		Source:      CoverageSource(m.GetSource()),
		Kind:        Kind(m.GetKind()),
		Service:     steering.ServiceName(m.GetService()),
		Operation:   steering.OperationName(m.GetOperation()),
		Constraint:  Constraint(m.GetConstraint()),
		Result:      m.GetResult(),
		Outcome:     m.GetOutcome(),
		Records:     m.GetRecords(),
		From:        fromUnixNano(m.GetFromUnixNs()),
		To:          fromUnixNano(m.GetToUnixNs()),
	}
}

func coverageToProto(list []Coverage) []*recordpb.Coverage {
	var messages []*recordpb.Coverage
	for i := range list {
		c := &list[i]
		messages = append(messages, &recordpb.Coverage{
			Vm:          sanitize(c.VM),
			Incarnation: uint64(c.Incarnation),
			FromUnixNs:  c.From.UnixNano(),
			ToUnixNs:    c.To.UnixNano(),
			Dropped:     c.Dropped,
			SampledOut:  c.SampledOut,
			Source:      string(c.Source),
		})
	}
	return messages
}

func coverageFromProto(messages []*recordpb.Coverage) []Coverage {
	var list []Coverage
	for _, m := range messages {
		list = append(list, Coverage{
			VM:          vm.Name(m.GetVm()),
			Incarnation: vm.Incarnation(m.GetIncarnation()),
			From:        fromUnixNano(m.GetFromUnixNs()),
			To:          fromUnixNano(m.GetToUnixNs()),
			Dropped:     m.GetDropped(),
			SampledOut:  m.GetSampledOut(),
			Source:      CoverageSource(m.GetSource()),
		})
	}
	return list
}
