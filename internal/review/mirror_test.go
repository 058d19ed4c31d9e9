package review

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azureflow/azureflow/internal/peer"
)

// While no peer responds, memory stays bounded and dropped records are counted. Afterwards the peer receives the rest.
func TestMirrorWithoutPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pending, perStep, steps = 4 << 10, 10, 600
		m := &countingMetrics{}
		l := NewLog(LogOptions{Self: "e1", Incarnation: 1, Metrics: m})
		target := NewLog(LogOptions{Self: "e2", Incarnation: 1})
		var disconnected atomic.Bool
		disconnected.Store(true)
		mirror := NewMirror(MirrorOptions{Log: l, PendingBytes: pending, Send: func(ctx context.Context, r *peer.MirrorRequest) error {
			if disconnected.Load() {
				return &unreachableError{"e2"}
			}
			_, err := target.MirrorRecords(ctx, r)
			return err
		}})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = mirror.Run(ctx) }()
		for range steps {
			for range perStep {
				recordRefusal(l, "certdesk", ConstraintCap)
			}
			time.Sleep(100 * time.Millisecond)
		}
		disconnected.Store(false)
		time.Sleep(2 * time.Second)
		cancel()
		synctest.Wait()
		if mirror.pendingBytes > pending || len(mirror.pending) != 0 {
			t.Errorf("%d bytes, %d batches pending", mirror.pendingBytes, len(mirror.pending))
		}
		if m.mirrored == 0 || m.dropped["mirror"] == 0 || m.mirrored+m.dropped["mirror"] != perStep*steps {
			t.Errorf("%d mirrored + %d dropped of %d", m.mirrored, m.dropped["mirror"], perStep*steps)
		}
		var reported uint64
		for _, c := range target.mirrored.coverage() {
			reported += c.Dropped
		}
		if reported != uint64(m.dropped["mirror"]) {
			t.Errorf("coverage at the peer reports %d dropped records of %d", reported, m.dropped["mirror"])
		}
	})
}

// With a small budget all refusals are sent, and requests either with their attempts or not at all.
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
		time.Sleep(50 * time.Millisecond) // between two batches, so that no batch splits a burst
		start := time.Now()
		const seconds = 20
		for range seconds {
			for range 100 {
				recordRequest(l, "certdesk", "u1", outcomeDone, time.Millisecond)
			}
			recordRefusal(l, "stampbook", ConstraintCap)
			time.Sleep(time.Second)
		}
		cancel()
		synctest.Wait()
		records, _ := target.mirrored.recordsInRange("", start, time.Now())
		requests, attempts := distinctRecordCount(records, KindRequest, outcomeDone), distinctRecordCount(records, KindAttempt, outcomeDone)
		if n := distinctRecordCount(records, KindRequest, outcomeNotRun); n != seconds {
			t.Errorf("%d refusals of %d", n, seconds)
		}
		if requests == 0 || requests == 100*seconds || attempts != requests {
			t.Errorf("%d requests with %d attempts", requests, attempts)
		}
		t.Logf("%d bytes/s, %d of %d requests", sent/seconds, requests, 100*seconds)
	})
}
