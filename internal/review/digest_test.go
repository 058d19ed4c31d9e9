package review

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/refplatform/refplatformtest"
)

// readDigests returns the content of all digests in store since from.
func readDigests(t *testing.T, store *refplatformtest.Store, from time.Time, zones ...string) *Batch {
	t.Helper()
	all := &Batch{}
	reader := DigestReader{Store: store, Zones: zoneNames(zones)}
	if err := reader.read(t.Context(), from, time.Now(), func(b *Batch) {
		all.Records = append(all.Records, b.Records...)
		all.Counts = append(all.Counts, b.Counts...)
		all.Coverage = append(all.Coverage, b.Coverage...)
	}); err != nil {
		t.Fatal(err)
	}
	return all
}

func countOf(counts []Count, kind Kind, outcome string) uint64 {
	var n uint64
	for _, c := range counts {
		if c.Kind == kind && c.Outcome == outcome {
			n += c.Records
		}
	}
	return n
}

func distinctRecordCount(records []*Record, kind Kind, outcome string) int {
	seen := make(map[ID]bool)
	for _, r := range records {
		if r.Kind == kind && r.Outcome == outcome {
			seen[r.ID] = true
		}
	}
	return len(seen)
}

func TestDigestKeepsFullRefusalsAndCountsTheRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := refplatformtest.NewStore(refplatformtest.StoreOptions{})
		l := NewLog(LogOptions{Self: "e1", Incarnation: 1})
		d := NewDigester(DigesterOptions{Log: l, Store: store, Zone: "batinah-a"})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = d.Run(ctx) }()
		start := time.Now()
		for i := range 600 {
			recordRequest(l, "certdesk", "u1", outcomeDone, 5*time.Millisecond)
			if i%10 == 0 {
				recordRefusal(l, "stampbook", ConstraintCap)
			}
			time.Sleep(100 * time.Millisecond)
		}
		l.Record(&Record{Kind: KindShift, Service: "certdesk", Constraint: ConstraintCap, Result: "batinah to muscat 0.1"})
		time.Sleep(20 * time.Second)
		cancel()
		synctest.Wait()
		got := readDigests(t, store, start, "batinah-a")
		if n := countOf(got.Counts, KindRequest, outcomeDone); n != 600 {
			t.Errorf("%d requests counted", n)
		}
		if n := distinctRecordCount(got.Records, KindRequest, outcomeNotRun); n != 60 {
			t.Errorf("%d refusals retained as records, want 60", n)
		}
		if n := distinctRecordCount(got.Records, KindShift, ""); n != 1 {
			t.Errorf("%d shifts retained as records, want 1", n)
		}
		samples := distinctRecordCount(got.Records, KindRequest, outcomeDone)
		attempts := distinctRecordCount(got.Records, KindAttempt, outcomeDone)
		if samples < 10 || samples > 100 || attempts < samples {
			t.Errorf("%d samples, %d attempts", samples, attempts)
		}
		counts := store.StoreCounts()
		t.Logf("%d samples of 600, %d writes in 80 s", samples, counts.Writes())
		if counts.Writes() > 80/5+digestBurst {
			t.Errorf("%d writes", counts.Writes())
		}
	})
}

// The leader alone writes for its zone. The other VMs send it their digests.
func TestOnlyTheLeaderWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := refplatformtest.NewStore(refplatformtest.StoreOptions{})
		leader := NewLog(LogOptions{Self: "e1", Incarnation: 1})
		start := time.Now()
		for i := range 8 {
			l := leader
			o := DigesterOptions{Log: leader, Store: store.NewClient("e1"), Zone: "batinah-a"}
			if i > 0 {
				l = NewLog(LogOptions{Self: "e" + vmNumber(i+1), Incarnation: 1})
				o = DigesterOptions{
					Log: l, Store: store.NewClient("other"), Zone: "batinah-a", Leader: func() bool { return false },
					ToLeader: func(ctx context.Context, r *peer.MirrorRequest) error {
						_, err := leader.MirrorRecords(ctx, r)
						return err
					},
				}
			}
			d := NewDigester(o)
			go func() { _ = d.Run(t.Context()) }()
			go func() {
				for range 100 {
					recordRefusal(l, "certdesk", ConstraintLink)
					time.Sleep(100 * time.Millisecond)
				}
			}()
		}
		time.Sleep(time.Minute)
		got := readDigests(t, store, start, "batinah-a")
		if n := distinctRecordCount(got.Records, KindRequest, outcomeNotRun); n != 800 {
			t.Errorf("%d refusals of 8 VMs", n)
		}
		if n := store.StoreCounts().Writes(); n > 12+digestBurst {
			t.Errorf("%d writes of a zone in a minute", n)
		}
	})
}

// The store is down for an hour under load: memory stays bounded, all records are counted and no change is lost.
func TestStoreDownForAnHour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pending, perSecond = 32 << 10, 5
		store := refplatformtest.NewStore(refplatformtest.StoreOptions{})
		m := &countingMetrics{}
		l := NewLog(LogOptions{Self: "e1", Incarnation: 1, Capacity: 1024, Metrics: m})
		d := NewDigester(DigesterOptions{Log: l, Store: store, Zone: "batinah-a", PendingBytes: pending})
		go func() { _ = d.Run(t.Context()) }()
		start := time.Now()
		store.SetStoreFaults(refplatformtest.Faults{Down: true})
		maxPending, refused, shifts := 0, 0, 0
		for second := range 3600 {
			for range perSecond {
				recordRequest(l, "certdesk", "u1", outcomeDone, 5*time.Millisecond)
				recordRefusal(l, "stampbook", ConstraintCap)
				refused++
			}
			if second%60 == 0 {
				l.Record(&Record{Kind: KindShift, Service: "certdesk", Result: fmt.Sprintf("shift %d", shifts)})
				shifts++
			}
			time.Sleep(time.Second)
			_, bytes := d.Pending()
			maxPending = max(maxPending, bytes)
		}
		store.SetStoreFaults(refplatformtest.Faults{})
		time.Sleep(2 * time.Minute)
		chunks, _ := d.Pending()
		got := readDigests(t, store, start, "batinah-a")
		complete := distinctRecordCount(got.Records, KindRequest, outcomeNotRun)
		t.Logf("pending at most %d bytes; %d refusals, %d retained as records, %d reported dropped; %d swaps", maxPending, refused, complete, m.dropped["digest"], store.StoreCounts().Swaps)
		if maxPending > pending+pending/4 || chunks > 1 {
			t.Errorf("pending %d bytes, %d chunks left", maxPending, chunks)
		}
		if n := countOf(got.Counts, KindRequest, outcomeNotRun); n != uint64(refused) {
			t.Errorf("%d refusals counted, %d made", n, refused)
		}
		if n := distinctRecordCount(got.Records, KindShift, ""); n != shifts {
			t.Errorf("%d shifts retained as records, %d made", n, shifts)
		}
		if complete == refused || m.dropped["digest"] == 0 {
			t.Errorf("nothing was dropped: the test does not reach the limit")
		}
		incident, err := ExplainRange(t.Context(), Sources{Digests: &DigestReader{Store: store, Zones: zoneNames([]string{"batinah-a"})}}, "stampbook", start.Add(20*time.Minute), start.Add(30*time.Minute))
		if err != nil {
			t.Fatal(err)
		}
		var text strings.Builder
		_ = incident.WriteText(&text)
		t.Log("\n" + text.String())
		if off := int(incident.Refused) - perSecond*600; off > 2*perSecond || off < -2*perSecond || !incident.Approximate || len(incident.Missing.Partials) == 0 {
			t.Errorf("refused %d, partials %+v", incident.Refused, incident.Missing.Partials)
		}
	})
}

// A response that is lost after the write took effect must not cause a second digest.
func TestLostStoreResponseWritesNoSecondDigest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := refplatformtest.NewStore(refplatformtest.StoreOptions{})
		l := NewLog(LogOptions{Self: "e1", Incarnation: 1})
		d := NewDigester(DigesterOptions{Log: l, Store: store, Zone: "batinah-a"})
		go func() { _ = d.Run(t.Context()) }()
		start := time.Now()
		time.Sleep(15 * time.Second)
		store.SetStoreFaults(refplatformtest.Faults{LoseAnswers: 2})
		for range 40 {
			recordRefusal(l, "stampbook", ConstraintCap)
			time.Sleep(time.Second)
		}
		time.Sleep(time.Minute)
		got := readDigests(t, store, start, "batinah-a")
		if n := countOf(got.Counts, KindRequest, outcomeNotRun); n != 40 {
			t.Errorf("%d refusals counted of 40", n)
		}
	})
}

// After all entry VMs were replaced, decisions are explained from the digests in the store.
func TestExplainFromDigestsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := refplatformtest.NewStore(refplatformtest.StoreOptions{})
		f := newFleet(2)
		for i, n := range f.nodes {
			ctx, cancel := context.WithCancel(t.Context())
			n.cancel = cancel
			d := NewDigester(DigesterOptions{Log: n.log, Store: store, Zone: zoneNames([]string{"a", "b"})[i]})
			go func() { _ = d.Run(ctx) }()
		}
		id := recordRefusal(f.nodes[0].log, "stampbook", ConstraintCap)
		time.Sleep(time.Minute)
		f.kill(0)
		f.kill(1)
		time.Sleep(time.Hour)
		fresh := NewLog(LogOptions{Self: "e1", Incarnation: 2})
		sources := f.sources(store, "a", "b")
		sources.Local = fresh
		explanation, err := Explain(t.Context(), sources, id)
		if err != nil {
			t.Fatal(err)
		}
		if explanation.Constraint != ConstraintCap || explanation.Outcome != outcomeNotRun {
			t.Errorf("explanation %+v", explanation)
		}
		var text strings.Builder
		_ = explanation.WriteText(&text)
		t.Log("\n" + text.String())
	})
}

// Digests expire after the retention period without being deleted.
func TestDigestsExpireByAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := refplatformtest.NewStore(refplatformtest.StoreOptions{})
		l := NewLog(LogOptions{Self: "e1", Incarnation: 1})
		d := NewDigester(DigesterOptions{Log: l, Store: store, Zone: "batinah-a", Interval: time.Minute, Retention: 2 * time.Hour})
		go func() { _ = d.Run(t.Context()) }()
		time.Sleep(8 * time.Hour)
		entries, _, err := store.List(t.Context(), DigestRoot)
		if err != nil {
			t.Fatal(err)
		}
		if n := len(entries); n < 120 || n > 60*4+1 {
			t.Errorf("%d digests of a minute after 8 hours", n)
		}
		if deletes := store.StoreCounts().Deletes; deletes != 0 {
			t.Errorf("%d deletes", deletes)
		}
	})
}
