package review

import (
	"bytes"
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/azureflow/azureflow/internal/peer"
)

func sampleBatch(n int) *Batch {
	l := NewLog(LogOptions{Self: "e1", Incarnation: 1, Capacity: 1024 + 64*n})
	for range n {
		recordRequest(l, "certdesk", "u1", outcomeDone, 5*time.Millisecond)
	}
	records, _ := l.newCursor().read(nil, 0)
	for _, s := range l.shards {
		s.each(func(r *Record) { records = append(records, r) })
	}
	return &Batch{
		Records:  records,
		Counts:   countRecords(records, SourceDigest, time.Unix(1, 0), time.Unix(2, 0)),
		Coverage: []Coverage{{VM: "e1", Incarnation: 1, From: time.Unix(1, 0).UTC(), To: time.Unix(2, 0).UTC(), Source: SourceMirror}},
	}
}

func TestBatchRoundTrip(t *testing.T) {
	b := sampleBatch(3)
	for _, r := range b.Records {
		r.At = r.At.Round(0).UTC()
	}
	for i := range b.Counts {
		b.Counts[i].From, b.Counts[i].To = b.Counts[i].From.UTC(), b.Counts[i].To.UTC()
	}
	data, err := EncodeBatch(b)
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeBatch(data)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(b, got) {
		t.Errorf("got %+v, want %+v", got, b)
	}
	two, err := DecodeBatch(append(bytes.Clone(data), data...))
	if err != nil || len(two.Records) != 2*len(b.Records) {
		t.Errorf("decoding two concatenated batches: %v", err)
	}
}

func TestBatchSanitizesTexts(t *testing.T) {
	b := &Batch{Records: []*Record{{ID: "e1.1.1", Service: "\xff\xfe", Result: strings.Repeat("x", 1<<20)}}}
	data, err := EncodeBatch(b)
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeBatch(data)
	if err != nil || len(got.Records[0].Result) != maxTextBytes {
		t.Errorf("%v", err)
	}
}

// hostileBatches returns malformed batches and small ones that would decode into a lot of memory.
func hostileBatches() map[string][]byte {
	var record []byte
	for range 1 << 20 {
		record = field(record, 21, nil)
	}
	whole, _ := EncodeBatch(sampleBatch(100))
	half := body(bytes.Repeat(field(nil, 2, nil), maxBatchElements-1))
	return map[string][]byte{
		"zip bomb":        body(make([]byte, 64<<20)),
		"empty records":   body(bytes.Repeat(field(nil, 2, nil), 1<<20)),
		"empty texts":     body(bytes.Repeat(field(nil, 1, nil), 1<<20)),
		"candidates":      body(field(nil, 2, record)),
		"several bodies":  append(half, half...),
		"empty bodies":    bytes.Repeat(field(nil, 3, nil), maxBatchElements+1),
		"oversized":       make([]byte, maxBatchBytes+1),
		"truncated":       whole[:len(whole)/2],
		"not an envelope": []byte("records"),
		"not zstd":        field(nil, 3, field(nil, 1, []byte("records"))),
		"not protobuf":    body([]byte{0xff, 0xff, 0xff}),
	}
}

// field appends a length-delimited field to a message.
func field(message []byte, number protowire.Number, value []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(message, number, protowire.BytesType), value)
}

// body returns an envelope with one body that decompresses to plain.
func body(plain []byte) []byte {
	return field(nil, 3, field(nil, 1, batchEncoder.EncodeAll(plain, nil)))
}

func TestHostileBatchesAreRejected(t *testing.T) {
	for name, data := range hostileBatches() {
		_, err := DecodeBatch(data)
		var batchError *BatchError
		if !errors.As(err, &batchError) {
			t.Errorf("%s: error %v", name, err)
		}
	}
}

// A mirrored batch is decoded only when it is queried. A malformed one must not hide the records of other batches.
func TestHostileBatchesDoNotHideRecords(t *testing.T) {
	l := NewLog(LogOptions{Self: "e1", Incarnation: 1})
	good := sampleBatch(1)
	data, err := EncodeBatch(good)
	if err != nil {
		t.Fatal(err)
	}
	for _, hostile := range hostileBatches() {
		_, _ = l.MirrorRecords(t.Context(), &peer.MirrorRequest{Vm: "e2", Records: hostile})
		digest := append(bytes.Clone(hostile), 0x10, 0x01)
		if _, err := l.MirrorRecords(t.Context(), &peer.MirrorRequest{Vm: "e2", Records: digest}); err == nil {
			t.Error("a hostile digest was accepted")
		}
	}
	other := NewLog(LogOptions{Self: "e3", Incarnation: 1})
	_, _ = other.MirrorRecords(t.Context(), &peer.MirrorRequest{Vm: "e1", Records: data})
	for _, hostile := range hostileBatches() {
		_, _ = other.MirrorRecords(t.Context(), &peer.MirrorRequest{Vm: "e2", Records: hostile})
	}
	if other.Find(good.Records[0].ID) == nil {
		t.Error("the good record is not found")
	}
}

func TestMirroredMemoryIsBounded(t *testing.T) {
	const limit = 64 << 10
	l := NewLog(LogOptions{Self: "e1", Incarnation: 1, MirroredBytes: limit})
	data, err := EncodeBatch(sampleBatch(200))
	if err != nil {
		t.Fatal(err)
	}
	for range 100 {
		if _, err := l.MirrorRecords(t.Context(), &peer.MirrorRequest{Vm: "e2", Records: bytes.Clone(data)}); err != nil {
			t.Fatal(err)
		}
	}
	if l.mirrored.bytes > limit {
		t.Errorf("%d bytes", l.mirrored.bytes)
	}
}

func FuzzDecodeBatch(f *testing.F) {
	whole, err := EncodeBatch(sampleBatch(2))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole)
	f.Add(append(bytes.Clone(whole), whole...))
	f.Add(whole[:len(whole)-1])
	f.Add([]byte{})
	for name, data := range hostileBatches() {
		if name != "oversized" {
			f.Add(data)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := DecodeBatch(data)
		if err != nil {
			var refused *BatchError
			if !errors.As(err, &refused) {
				t.Fatalf("error %T", err)
			}
			return
		}
		for _, r := range b.Records {
			_ = sentence(r)
			_ = reasonLines(r)
			_, _ = r.ID.Parse()
		}
		if _, _, err := encodeWithinLimits(b); err != nil {
			t.Fatalf("a decoded batch cannot be encoded: %v", err)
		}
	})
}

// FuzzDecodePlain fuzzes the decoding of uncompressed messages.
func FuzzDecodePlain(f *testing.F) {
	whole, err := EncodeBatch(sampleBatch(2))
	if err != nil {
		f.Fatal(err)
	}
	opened, err := openEnvelope(whole)
	if err != nil {
		f.Fatal(err)
	}
	plain, err := batchDecoder.DecodeAll(opened.bodies[0].GetData(), nil)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(plain)
	f.Add(plain[:len(plain)/2])
	f.Add(bytes.Repeat([]byte{0x12, 0x00}, 100))
	f.Fuzz(func(t *testing.T, plain []byte) {
		b, err := DecodeBatch(body(plain))
		if err == nil && elementsOf(b) > maxBatchElements {
			t.Fatalf("%d elements", elementsOf(b))
		}
	})
}
