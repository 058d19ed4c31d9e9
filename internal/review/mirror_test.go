package review

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azureflow/azureflow/internal/peer"
)

// While no peer answers, memory stays bounded and what is dropped is counted; afterwards the peer
// gets the rest.
func TestMirrorWithoutPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pending, perStep, steps = 4 << 10, 10, 600
		m := &countingMetrics{}
		l := NewLog(LogOptions{Self: "e1", Incarnation: 1, Metrics: m})
		target := NewLog(LogOptions{Self: "e2", Incarnation: 1})
		var cut atomic.Bool
		cut.Store(true)
		mirror := NewMirror(MirrorOptions{Log: l, PendingBytes: pending, Send: func(ctx context.Context, r *peer.MirrorRequest) error {
			if cut.Load() {
				return &goneError{"e2"}
			}
			_, err := target.MirrorRecords(ctx, r)
			return err
		}})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = mirror.Run(ctx) }()
		for range steps {
			for range perStep {
				refusal(l, "certdesk", ConstraintCap)
			}
			time.Sleep(100 * time.Millisecond)
		}
		cut.Store(false)
		time.Sleep(2 * time.Second)
		cancel()
		synctest.Wait()
		if mirror.bytes > pending || len(mirror.pending) != 0 {
			t.Errorf("%d bytes, %d batches pending", mirror.bytes, len(mirror.pending))
		}
		if m.mirrored == 0 || m.dropped["mirror"] == 0 || m.mirrored+m.dropped["mirror"] != perStep*steps {
			t.Errorf("%d mirrored + %d dropped of %d", m.mirrored, m.dropped["mirror"], perStep*steps)
		}
		var told uint64
		for _, c := range target.mirrored.coverage() {
			told += c.Dropped
		}
		if told != uint64(m.dropped["mirror"]) {
			t.Errorf("the peer knows of %d dropped records of %d", told, m.dropped["mirror"])
		}
	})
}

// Under a small budget refusals go whole, requests with their attempts or not at all.
func TestMirrorBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLog(LogOptions{Self: "e1", Incarnation: 1})
		target := NewLog(LogOptions{Self: "e2", Incarnation: 1})
		sent := 0
		mirror := NewMirror(MirrorOptions{Log: l, BytesPerSec: 2 << 10, Send: func(ctx context.Context, r *peer.MirrorRequest) error {
			sent += len(r.GetRecords())
			_, err := target.MirrorRecords(ctx, r)
			return err
		}})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = mirror.Run(ctx) }()
		time.Sleep(50 * time.Millisecond) // between two batches, so that none cuts a burst in two
		start := time.Now()
		const seconds = 20
		for range seconds {
			for range 100 {
				request(l, "certdesk", "u1", outcomeDone, time.Millisecond)
			}
			refusal(l, "stampbook", ConstraintCap)
			time.Sleep(time.Second)
		}
		cancel()
		synctest.Wait()
		records, _ := target.mirrored.inRange("", start, time.Now())
		requests, attempts := wholeOf(records, KindRequest, outcomeDone), wholeOf(records, KindAttempt, outcomeDone)
		if n := wholeOf(records, KindRequest, outcomeNotRun); n != seconds {
			t.Errorf("%d refusals of %d", n, seconds)
		}
		if requests == 0 || requests == 100*seconds || attempts != requests {
			t.Errorf("%d requests with %d attempts", requests, attempts)
		}
		t.Logf("%d bytes/s, %d of %d requests", sent/seconds, requests, 100*seconds)
	})
}
