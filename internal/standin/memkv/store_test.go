package memkv

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azureflow/azureflow/internal/kv"
)

func mustSwap(t *testing.T, s kv.Store, key string, expect kv.Version, value string, lease kv.LeaseID) kv.Version {
	t.Helper()
	v, err := s.CompareAndSwap(t.Context(), key, expect, []byte(value), lease)
	if err != nil {
		t.Fatalf("swap %s: %v", key, err)
	}
	return v
}

func TestSwapRefusesWrongVersion(t *testing.T) {
	s := New(Options{})
	v := mustSwap(t, s, "a", 0, "1", 0)
	var conflict *kv.ConflictError
	if _, err := s.CompareAndSwap(t.Context(), "a", 0, []byte("2"), 0); !errors.As(err, &conflict) || conflict.Current != v {
		t.Fatalf("got %v", err)
	}
	mustSwap(t, s, "a", v, "2", 0)
}

func TestLeaseLapsesAndWatchSeesIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{})
		lease, err := s.Grant(t.Context(), 5*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		v := mustSwap(t, s, "lead", 0, "a", lease.ID)
		time.Sleep(4 * time.Second)
		if err := s.KeepAlive(t.Context(), lease.ID); err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		entries, _, err := s.Watch(t.Context(), "lead", v)
		if err != nil || len(entries) != 1 || !entries[0].Deleted {
			t.Fatalf("got %v %v", entries, err)
		}
		if waited := time.Since(start); waited != 5*time.Second {
			t.Fatalf("lapsed after %v", waited)
		}
		var lapsed *kv.LeaseExpiredError
		if err := s.KeepAlive(t.Context(), lease.ID); !errors.As(err, &lapsed) {
			t.Fatalf("got %v", err)
		}
	})
}

func TestFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{})
		zone := s.NewClient("zone-a")
		var unavailable *kv.UnavailableError
		var unknown *kv.EffectUnknownError
		zone.SetFaults(Faults{Down: true})
		if _, err := zone.Get(t.Context(), "a"); !errors.As(err, &unavailable) {
			t.Fatalf("down: %v", err)
		}
		zone.SetFaults(Faults{LoseAnswers: 1})
		if _, err := zone.CompareAndSwap(t.Context(), "a", 0, []byte("1"), 0); !errors.As(err, &unknown) {
			t.Fatalf("lost answer: %v", err)
		}
		if e, err := s.Get(t.Context(), "a"); err != nil || string(e.Value) != "1" {
			t.Fatalf("effect of lost answer: %v %v", e, err)
		}
		s.SetStoreFaults(Faults{LoseRequests: 1})
		if _, err := zone.CompareAndSwap(t.Context(), "b", 0, []byte("1"), 0); !errors.As(err, &unknown) {
			t.Fatalf("lost request: %v", err)
		}
		old := s.Snapshot()
		mustSwap(t, s, "b", 0, "2", 0)
		s.SetStoreFaults(Faults{Stale: old})
		var missing *kv.NotFoundError
		if _, err := zone.Get(t.Context(), "b"); !errors.As(err, &missing) {
			t.Fatalf("stale: %v", err)
		}
	})
}

func TestAbandonedSlowWriteTakesEffectLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{})
		s.SetStoreFaults(Faults{Delay: 4 * time.Second})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var unknown *kv.EffectUnknownError
		if _, err := s.CompareAndSwap(ctx, "a", 0, []byte("1"), 0); !errors.As(err, &unknown) {
			t.Fatalf("got %v", err)
		}
		time.Sleep(2 * time.Second)
		s.SetStoreFaults(Faults{})
		if _, err := s.Get(t.Context(), "a"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
	})
}

func TestWatchEndsWhenStoreGoesDownOrBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{})
		old := s.Snapshot()
		v := mustSwap(t, s, "a", 0, "1", 0)
		failed := make(chan error, 1)
		go func() {
			_, _, err := s.Watch(t.Context(), "a", v)
			failed <- err
		}()
		synctest.Wait()
		s.SetStoreFaults(Faults{Down: true})
		var unavailable *kv.UnavailableError
		if err := <-failed; !errors.As(err, &unavailable) {
			t.Fatalf("got %v", err)
		}
		s.SetStoreFaults(Faults{})
		s.Restore(old)
		if _, version, err := s.Watch(t.Context(), "a", v); err != nil || version >= v {
			t.Fatalf("got %d %v", version, err)
		}
	})
}
