package review

import (
	"encoding/hex"
	"math"

	"google.golang.org/protobuf/encoding/protowire"
)

// Field numbers of recordpb.Batch and its messages. appendBatch writes the fields without building the messages
// first, because encoding is the largest part of the cost of a record.
const (
	batchTexts   protowire.Number = 1
	batchRecords protowire.Number = 2
	batchCounts  protowire.Number = 3

	recordIDPrefix     protowire.Number = 1
	recordIDNumber     protowire.Number = 2
	recordParentPrefix protowire.Number = 3
	recordParentNumber protowire.Number = 4
	recordKind         protowire.Number = 5
	recordAt           protowire.Number = 6
	recordTook         protowire.Number = 7
	recordVM           protowire.Number = 8
	recordIncarnation  protowire.Number = 9
	recordService      protowire.Number = 10
	recordOperation    protowire.Number = 11
	recordOrigin       protowire.Number = 12
	recordRevision     protowire.Number = 13
	recordPlanEpoch    protowire.Number = 14
	recordGrant        protowire.Number = 15
	recordConstraint   protowire.Number = 16
	recordResult       protowire.Number = 17
	recordOutcome      protowire.Number = 18
	recordTrace        protowire.Number = 19
	recordInputs       protowire.Number = 20
	recordCandidates   protowire.Number = 21

	inputName  protowire.Number = 1
	inputValue protowire.Number = 2
	inputAge   protowire.Number = 3

	candidateName   protowire.Number = 1
	candidateTaken  protowire.Number = 2
	candidateReason protowire.Number = 3
	candidateScore  protowire.Number = 4
)

// recordWriter encodes the records of a batch.
type recordWriter struct {
	out    []byte
	record []byte // the record being encoded
	part   []byte // the input or candidate being encoded
	texts  *texts
	before int64 // time of the previous record, ns
}

func (w *recordWriter) add(r *Record) {
	w.record = w.record[:0]
	w.id(recordIDPrefix, recordIDNumber, r.ID)
	w.id(recordParentPrefix, recordParentNumber, r.Parent)
	w.text(recordKind, string(r.Kind))
	w.time(r.At.UnixNano())
	w.number(recordTook, uint64(r.Took))
	w.text(recordVM, string(r.VM))
	w.number(recordIncarnation, uint64(r.Incarnation))
	w.text(recordService, string(r.Service))
	w.text(recordOperation, string(r.Operation))
	w.text(recordOrigin, string(r.Origin))
	w.number(recordRevision, uint64(r.Revision))
	w.number(recordPlanEpoch, r.PlanEpoch)
	w.number(recordGrant, r.Grant)
	w.text(recordConstraint, string(r.Constraint))
	w.text(recordResult, r.Result)
	w.text(recordOutcome, r.Outcome)
	w.trace(r.TraceID)
	for i := range r.Inputs {
		w.input(&r.Inputs[i])
	}
	for i := range r.Candidates {
		w.candidate(&r.Candidates[i])
	}
	w.out = appendBytes(w.out, batchRecords, w.record)
}

func (w *recordWriter) id(prefixField, numberField protowire.Number, id ID) {
	prefix, number := splitID(id)
	w.text(prefixField, prefix)
	w.number(numberField, number)
}

func (w *recordWriter) time(at int64) {
	w.number(recordAt, protowire.EncodeZigZag(at-w.before))
	w.before = at
}

// trace writes a trace id as bytes. An id that is not hexadecimal is omitted.
func (w *recordWriter) trace(id string) {
	var buffer [maxTraceBytes]byte
	if id == "" || len(id) > 2*maxTraceBytes {
		return
	}
	n, err := hex.Decode(buffer[:], []byte(id))
	if err == nil {
		w.record = appendBytes(w.record, recordTrace, buffer[:n])
	}
}

// maxTraceBytes is the maximum length of a decoded trace id.
const maxTraceBytes = 32

func (w *recordWriter) input(input *Input) {
	w.part = appendNumber(w.part[:0], inputName, uint64(w.texts.number(input.Name)))
	if input.Value != "" {
		w.part = protowire.AppendTag(w.part, inputValue, protowire.BytesType)
		w.part = protowire.AppendString(w.part, sanitizeTo(input.Value, maxInputBytes))
	}
	w.part = appendNumber(w.part, inputAge, uint64(input.Age))
	w.record = appendBytes(w.record, recordInputs, w.part)
}

func (w *recordWriter) candidate(c *Candidate) {
	w.part = appendNumber(w.part[:0], candidateName, uint64(w.texts.number(c.Name)))
	w.part = appendNumber(w.part, candidateTaken, protowire.EncodeBool(c.Taken))
	w.part = appendNumber(w.part, candidateReason, uint64(w.texts.number(c.Reason)))
	if c.Score != 0 {
		w.part = protowire.AppendTag(w.part, candidateScore, protowire.Fixed64Type)
		w.part = protowire.AppendFixed64(w.part, math.Float64bits(c.Score))
	}
	w.record = appendBytes(w.record, recordCandidates, w.part)
}

func (w *recordWriter) text(field protowire.Number, s string) {
	w.number(field, uint64(w.texts.number(s)))
}

func (w *recordWriter) number(field protowire.Number, value uint64) {
	w.record = appendNumber(w.record, field, value)
}

// appendNumber appends a field unless its value is 0, as proto3 does.
func appendNumber(message []byte, field protowire.Number, value uint64) []byte {
	if value == 0 {
		return message
	}
	message = protowire.AppendTag(message, field, protowire.VarintType)
	return protowire.AppendVarint(message, value)
}

func appendBytes(message []byte, field protowire.Number, value []byte) []byte {
	message = protowire.AppendTag(message, field, protowire.BytesType)
	return protowire.AppendBytes(message, value)
}
