package memory

import (
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

const mb = 1_000_000

func TestSmallReservationsFindRoomBesideLargeOnes(t *testing.T) {
	a := NewAccount(8 * mb)
	large := 0
	for a.TryReserve(mb) {
		large++
	}
	if large != 7 {
		t.Errorf("%d large reservations of 1 MB in 8 MB, want 7", large)
	}
	if !a.TryReserve(SmallBytes) {
		t.Error("no room for a small reservation")
	}
	for a.TryReserve(SmallBytes) {
	}
	if a.Used() > a.Capacity() {
		t.Errorf("%d of %d bytes used", a.Used(), a.Capacity())
	}
}

func TestAccountWithoutLimit(t *testing.T) {
	a := NewAccount(CapacityFor(0))
	if a != nil || !a.TryReserve(1<<50) || a.Await(nil, 1<<50, 0, 0, nil) != nil {
		t.Error("an account of a VM whose memory is unknown has a limit")
	}
	a.Release(1 << 50)
}

func TestAwait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := NewAccount(8 * mb)
		if !a.TryReserve(7 * mb) {
			t.Fatal("no room at the beginning")
		}
		reclaims := 0
		started := time.Now()
		err := a.Await(nil, mb, time.Second, 100*time.Millisecond, func() { reclaims++ })
		var noRoom *NoRoomError
		if !errors.As(err, &noRoom) || noRoom.Bytes != mb || time.Since(started) != time.Second || reclaims < 9 {
			t.Errorf("%v after %s and %d reclaims, want *NoRoomError after 1s and 10", err, time.Since(started), reclaims)
		}
		go func() {
			time.Sleep(30 * time.Millisecond)
			a.Release(2 * mb)
		}()
		started = time.Now()
		err = a.Await(nil, mb, time.Second, 100*time.Millisecond, func() {})
		if err != nil || time.Since(started) != 30*time.Millisecond || a.Wanted() != 0 || a.Used() != 6*mb {
			t.Errorf("%v after %s, %d bytes used, %d wanted", err, time.Since(started), a.Used(), a.Wanted())
		}
	})
}

func TestAccountNeverExceedsItsCapacity(t *testing.T) {
	a := NewAccount(mb)
	var users sync.WaitGroup
	for i := range 8 {
		users.Go(func() {
			size := int64(1000 * (i + 1))
			for range 2000 {
				if a.TryReserve(size) {
					if a.Used() > a.Capacity() {
						t.Error("more than the capacity is reserved")
					}
					a.Release(size)
				}
			}
		})
	}
	users.Wait()
	if a.Used() != 0 {
		t.Errorf("%d bytes are still reserved", a.Used())
	}
}

func TestCapacityOfVMs(t *testing.T) {
	for _, c := range []struct{ total, want int64 }{{0, 0}, {40 * mb, 5 * mb}, {132 * mb, 40 * mb}, {832 * mb, 320 * mb}} {
		if got := CapacityFor(c.total); got != c.want {
			t.Errorf("%d bytes on a VM with %d, want %d", got, c.total, c.want)
		}
	}
}

// BenchmarkRequest reserves and releases what a request without a body does: its head and its response.
func BenchmarkRequest(b *testing.B) {
	a := NewAccount(52 * mb)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			a.TryReserve(2000)
			a.TryReserve(4000)
			a.Release(4000)
			a.Release(2000)
		}
	})
}
