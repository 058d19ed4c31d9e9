package link

import (
	"bytes"
	"context"
	"errors"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/azureflow/azureflow/internal/steering"
)

func TestPacerHoldsTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPacer(Options{CapacityMbit: 80}) // 9,000,000 bytes/s at 90%
		begin := time.Now()
		if err := p.Wait(t.Context(), steering.ClassBulk, 45_000_000); err != nil {
			t.Fatal(err)
		}
		took := time.Since(begin)
		if took < 5*time.Second || took > 5200*time.Millisecond {
			t.Fatalf("45 MB took %v, want 5 s to 5.2 s", took)
		}
		u := p.Usage(time.Now())
		if u.PeakMbit1s > u.LimitMbit || u.HeadroomMbit < 8 || u.Bytes[steering.ClassBulk] != 45_000_000 {
			t.Fatalf("usage out of bounds: %+v", u)
		}
	})
}

func TestInteractiveGoesAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPacer(Options{CapacityMbit: 80})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = p.Wait(ctx, steering.ClassBulk, 1<<30) }()
		time.Sleep(3 * time.Second)
		begin := time.Now()
		if err := p.Wait(ctx, steering.ClassInteractive, 2048); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(begin); took != 0 {
			t.Fatalf("interactive bytes waited %v behind a bulk transfer, want 0", took)
		}
		cancel()
	})
}

func TestLowerClassesKeepTheirMinimum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPacer(Options{CapacityMbit: 80})
		ctx, cancel := context.WithCancel(t.Context())
		for class := range steering.ClassCount {
			for range 4 {
				go func() { _ = p.Wait(ctx, class, 1<<30) }()
			}
		}
		time.Sleep(10 * time.Second)
		u := p.Usage(time.Now())
		cancel()
		synctest.Wait()
		total := float64(u.Bytes[0] + u.Bytes[1] + u.Bytes[2])
		bulk, deferrable := float64(u.Bytes[1])/total, float64(u.Bytes[2])/total
		if bulk < 0.095 || deferrable < 0.019 || bulk > 0.15 {
			t.Fatalf("shares: bulk %.3f, want 0.095 to 0.15; deferrable %.3f, want at least 0.019", bulk, deferrable)
		}
	})
}

func TestInterruptedWaitLeavesTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPacer(Options{CapacityMbit: 8})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var interrupted *InterruptedError
		err := p.Wait(ctx, steering.ClassBulk, 100<<20)
		if !errors.As(err, &interrupted) || !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("got error %v, want *InterruptedError caused by context.DeadlineExceeded", err)
		}
		time.Sleep(time.Second)
		if !p.TryAcquire(steering.ClassInteractive, 2048) {
			t.Fatal("bytes of the interrupted wait are still queued")
		}
	})
}

func TestSetRateWakesWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPacer(Options{CapacityMbit: 1})
		begin := time.Now()
		time.AfterFunc(time.Second, func() { p.SetRate(800) })
		if err := p.Wait(t.Context(), steering.ClassBulk, 10<<20); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(begin); took > 2*time.Second {
			t.Fatalf("wait took %v although the rate rose after 1 s, want at most 2 s", took)
		}
	})
}

func TestReaderDeliversAllBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPacer(Options{CapacityMbit: 80})
		content := bytes.Repeat([]byte("scan"), 500_000)
		got, err := io.ReadAll(p.Reader(t.Context(), bytes.NewReader(content), steering.ClassBulk))
		if err != nil || !bytes.Equal(got, content) {
			t.Fatalf("read %d bytes, error %v", len(got), err)
		}
	})
}

// TestNoWindowOverTheRate checks every window of one second while work of all classes is submitted and the rate
// changes: a window carries no more than the highest rate that was set within it allows.
func TestNoWindowOverTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &scheduler{}
		s.setRate(1e7, 0)
		s.tokens = s.burst
		type change struct {
			at   int64
			rate float64
		}
		rates := []change{{0, 1e7}}
		var tickets []*ticket
		var grants []grantedBytes
		now := int64(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += rapid.SampledFrom([]int64{0, 1e5, 1e7, 4e8}).Draw(t, "ns")
			if rapid.IntRange(0, 20).Draw(t, "change") == 0 {
				rate := rapid.SampledFrom([]float64{1e5, 1e6, 1e7}).Draw(t, "rate")
				s.setRate(rate, now)
				rates = append(rates, change{now, rate})
			}
			for range rapid.IntRange(0, 60).Draw(t, "offers") {
				class := steering.Class(rapid.IntRange(0, 2).Draw(t, "class"))
				part := &ticket{class: class, bytes: quantumAt(1e7)}
				s.submit(part, now)
				tickets = append(tickets, part)
			}
			s.advance(now)
			tickets = slices.DeleteFunc(tickets, func(g *ticket) bool {
				if g.granted {
					grants = append(grants, grantedBytes{at: now, bytes: g.bytes})
				}
				return g.granted
			})
			window := 0
			for _, g := range grants {
				if g.at > now-int64(time.Second) {
					window += g.bytes
				}
			}
			highest := 0.0
			for i, c := range rates {
				if i+1 == len(rates) || rates[i+1].at > now-int64(time.Second) {
					highest = max(highest, c.rate)
				}
			}
			if float64(window) > highest+1 {
				t.Fatalf("%d bytes granted in the second up to %v, want at most %.0f", window, time.Duration(now), highest)
			}
		}
	})
}
