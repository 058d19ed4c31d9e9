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
	l := NewLog(LogOptions{Self: "e1", Incarnation: 1, Capacity: 8 * n})
	for range n {
		request(l, "certdesk", "u1", outcomeDone, 5*time.Millisecond)
	}
	records, _ := l.cursor().read(nil, 0)
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
		t.Errorf("two batches in a row: %v", err)
	}
}

func TestBatchTakesAnyText(t *testing.T) {
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

// hostile batches, each small and each asking for much memory.
func hostileBatches() map[string][]byte {
	bomb := batchEncoder.EncodeAll(make([]byte, 64<<20), nil)
	emptyRecords := bytes.Repeat(protowire.AppendBytes(protowire.AppendTag(nil, 1, protowire.BytesType), nil), 1<<20)
	var record []byte
	for range 1 << 20 {
		record = protowire.AppendBytes(protowire.AppendTag(record, 18, protowire.BytesType), nil)
	}
	candidates := protowire.AppendBytes(protowire.AppendTag(nil, 1, protowire.BytesType), record)
	whole, _ := EncodeBatch(sampleBatch(100))
	return map[string][]byte{
		"zip bomb":      bomb,
		"empty records": batchEncoder.EncodeAll(emptyRecords, nil),
		"candidates":    batchEncoder.EncodeAll(candidates, nil),
		"oversized":     make([]byte, maxBatchBytes+1),
		"truncated":     whole[:len(whole)/2],
		"not zstd":      []byte("records"),
		"not protobuf":  batchEncoder.EncodeAll([]byte{0xff, 0xff, 0xff}, nil),
	}
}

func TestHostileBatchesAreRefused(t *testing.T) {
	l := NewLog(LogOptions{Self: "e1", Incarnation: 1})
	for name, data := range hostileBatches() {
		_, err := l.MirrorRecords(t.Context(), &peer.MirrorRequest{Vm: "e2", Records: data})
		var refused *BatchError
		if !errors.As(err, &refused) {
			t.Errorf("%s: error %v", name, err)
		}
	}
	if n := len(l.mirrored.snapshot()); n != 0 {
		t.Errorf("%d hostile batches kept", n)
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
			_ = reasons(r)
			_, _ = r.ID.Parse()
		}
		if _, _, err := encodeWithin(b); err != nil {
			t.Fatalf("what was read cannot be written: %v", err)
		}
	})
}

// FuzzDecodePlain reaches the messages below the compression.
func FuzzDecodePlain(f *testing.F) {
	whole, err := EncodeBatch(sampleBatch(2))
	if err != nil {
		f.Fatal(err)
	}
	plain, err := batchDecoder.DecodeAll(whole, nil)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(plain)
	f.Add(plain[:len(plain)/2])
	f.Add(bytes.Repeat([]byte{0x0a, 0x00}, 100))
	f.Fuzz(func(t *testing.T, plain []byte) {
		b, err := DecodeBatch(batchEncoder.EncodeAll(plain, nil))
		if err == nil && elementsOf(b) > maxBatchElements {
			t.Fatalf("%d elements", elementsOf(b))
		}
	})
}
