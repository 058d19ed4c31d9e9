package link

import (
	"bytes"
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

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
			t.Fatalf("45 MB took %v, want 5 s and little more", took)
		}
		u := p.Usage(time.Now())
		if u.PeakMbit1s > u.LimitMbit || u.HeadroomMbit < 8 || u.Bytes[steering.ClassBulk] != 45_000_000 {
			t.Fatalf("usage %+v", u)
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
			t.Fatalf("lookup waited %v behind an upload", took)
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
			t.Fatalf("shares: bulk %.3f, deferrable %.3f", bulk, deferrable)
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
			t.Fatalf("error %v", err)
		}
		time.Sleep(time.Second)
		if !p.Reserve(steering.ClassInteractive, 2048) {
			t.Fatal("abandoned bytes still wait")
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
			t.Fatalf("took %v after the rate rose", took)
		}
	})
}

func TestReaderDeliversAllBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPacer(Options{CapacityMbit: 80})
		content := bytes.Repeat([]byte("scan"), 500_000)
		got, err := io.ReadAll(p.Reader(t.Context(), bytes.NewReader(content), steering.ClassBulk))
		if err != nil || !bytes.Equal(got, content) {
			t.Fatalf("%d bytes, %v", len(got), err)
		}
	})
}
