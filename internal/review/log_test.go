package review

import (
	"bytes"
	"errors"
	"math"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
)

func TestIDsParse(t *testing.T) {
	l := NewLog(LogOptions{Self: "e1.batinah", Incarnation: 7})
	seen := make(map[ID]bool)
	for range 1000 {
		id := l.NextID()
		if seen[id] {
			t.Fatalf("%s twice", id)
		}
		seen[id] = true
		parsed, err := id.Parse()
		if err != nil || parsed.VM != "e1.batinah" || parsed.Incarnation != 7 {
			t.Fatalf("%s: %+v %v", id, parsed, err)
		}
	}
	for _, text := range []ID{"", "e1", "e1.1", ".1.1", "e1.x.1", "e1.1.", "e1.1.-1", ID(strings.Repeat("9.", 200))} {
		var malformed *MalformedIDError
		if _, err := text.Parse(); !errors.As(err, &malformed) {
			t.Errorf("%q: error %v", text, err)
		}
	}
}

func TestLogFindsAndRanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLog(LogOptions{Self: "e1", Incarnation: 1, Capacity: 1024})
		start := time.Now()
		var ids []ID
		for range 50 {
			ids = append(ids, recordRequest(l, "certdesk", "u1", outcomeDone, 5*time.Millisecond))
			time.Sleep(100 * time.Millisecond)
		}
		for _, id := range ids {
			if r := l.Find(id); r == nil || r.Kind != KindRequest {
				t.Fatalf("%s: %+v", id, r)
			}
		}
		records, truncated := l.Range("certdesk", start.Add(time.Second), start.Add(2*time.Second), 100)
		if len(records) != 20 || truncated {
			t.Fatalf("%d records, truncated %v", len(records), truncated)
		}
		if records, truncated := l.Range("", start, start.Add(time.Hour), 7); len(records) != 7 || !truncated {
			t.Fatalf("%d records, truncated %v", len(records), truncated)
		}
		if records, _ := l.Range("stampbook", start, start.Add(time.Hour), 7); len(records) != 0 {
			t.Fatalf("%d records of another service", len(records))
		}
	})
}

// Routine records overwrite older routine records, but not refusals.
func TestRefusalsOutliveRoutineRecords(t *testing.T) {
	l := NewLog(LogOptions{Self: "e1", Incarnation: 1, Capacity: 512})
	first := recordRequest(l, "certdesk", "u1", outcomeDone, time.Millisecond)
	refused := recordRefusal(l, "stampbook", ConstraintCap)
	for range 5000 {
		recordRequest(l, "certdesk", "u1", outcomeDone, time.Millisecond)
	}
	if l.Find(first) != nil {
		t.Error("the oldest routine record is still retained")
	}
	if l.Find(refused) == nil {
		t.Error("the refusal is not retained")
	}
}

// A writer that is delayed for a full round of the ring must not overwrite a later record with its old one, which
// would hide the later record from all readers. TestCursorReadsOrCountsEveryRecord failed for this reason on one
// processor.
func TestDelayedWriterKeepsLaterRecords(t *testing.T) {
	s := newShard(4)
	delayed := s.reserve(&Record{ID: "old"})
	for range len(s.slots) {
		s.push(&Record{ID: "later"})
	}
	s.store(delayed)
	if r, state := s.read(uint64(len(s.slots))); state != readOK || r.ID != "later" {
		t.Errorf("the later record is read as %+v in state %d", r, state)
	}
	if _, state := s.read(0); state != readLost {
		t.Errorf("the delayed record has state %d, want lost", state)
	}
}

// Every record is read once or counted as lost, with many writers and a slow reader.
func TestCursorReadsOrCountsEveryRecord(t *testing.T) {
	const writers, each = 8, 4000
	l := NewLog(LogOptions{Self: "e1", Incarnation: 1, Capacity: 2048})
	c := l.newCursor()
	var wait sync.WaitGroup
	for range writers {
		wait.Go(func() {
			for range each {
				l.Record(&Record{Kind: KindLookup, Service: "certdesk"})
			}
		})
	}
	done := make(chan struct{})
	go func() { wait.Wait(); close(done) }()
	seen := make(map[ID]bool)
	var lost uint64
	for finished := false; !finished; {
		select {
		case <-done:
			finished = true
		default:
		}
		records, n := c.read(nil, math.MaxInt)
		lost += n
		for _, r := range records {
			if seen[r.ID] {
				t.Fatalf("%s read twice", r.ID)
			}
			seen[r.ID] = true
		}
	}
	if got := uint64(len(seen)) + lost; got != writers*each {
		t.Fatalf("%d read + %d lost = %d, want %d", len(seen), lost, got, writers*each)
	}
}

func TestRecordLogLines(t *testing.T) {
	var out bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&out)
	logger.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
	l := NewLog(LogOptions{Self: "e1", Incarnation: 1, Logger: logger})
	recordRequest(l, "certdesk", "u1", outcomeDone, time.Millisecond)
	id := recordRefusal(l, "stampbook", ConstraintCap)
	l.writeLines()
	if lines := strings.Count(out.String(), "\n"); lines != 1 {
		t.Fatalf("%d lines at level info: %s", lines, out.String())
	}
	for _, want := range []string{"decision=" + string(id), "constraint=cap", "outcome=not-run", `result="no room"`} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %s in %s", want, out.String())
		}
	}
	logger.SetLevel(logrus.DebugLevel)
	recordRequest(l, "certdesk", "u1", outcomeDone, time.Millisecond)
	l.writeLines()
	if lines := strings.Count(out.String(), "\n"); lines != 3 {
		t.Fatalf("%d lines at level debug", lines)
	}
}
