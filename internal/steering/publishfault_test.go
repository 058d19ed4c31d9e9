package steering_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azureflow/azureflow/internal/refplatform/refplatformtest"
	"github.com/azureflow/azureflow/internal/standin/memkv"
	"github.com/azureflow/azureflow/internal/steering"
)

// snapshotBefore returns a store in which revision next-1 is in force.
func snapshotBefore(t *testing.T, next int) *refplatformtest.Snapshot {
	store := refplatformtest.NewStore(refplatformtest.StoreOptions{})
	publishBase(t, store.Client)
	for north := 2; north < next; north++ {
		mustPublish(t, newPublisher(store.Client), alpha(t, north))
	}
	return store.Snapshot()
}

// failAt applies a verdict to the n-th write of the client "publisher".
func failAt(store *refplatformtest.Store, n int, v refplatformtest.Verdict) {
	writes := 0
	store.SetHook(func(c refplatformtest.Call) refplatformtest.Verdict {
		if c.Client != "publisher" || (c.Op != memkv.OpSwap && c.Op != memkv.OpDelete) {
			return memkv.VerdictPass
		}
		if writes++; writes == n {
			return v
		}
		return memkv.VerdictPass
	})
}

func TestLostResponseAtEachWriteIsSettled(t *testing.T) {
	for _, verdict := range []refplatformtest.Verdict{memkv.VerdictLoseAnswer, memkv.VerdictLoseRequest, memkv.VerdictRefuse} {
		for _, next := range []int{2, 34} {
			before := snapshotBefore(t, next)
			for n := 1; n <= 6; n++ {
				synctest.Test(t, func(t *testing.T) {
					store := refplatformtest.NewStore(refplatformtest.StoreOptions{})
					store.Restore(before)
					failAt(store, n, verdict)
					result := mustPublish(t, newPublisher(store.NewClient("publisher")), alpha(t, 99))
					if result.Revision != steering.Revision(next) || result.Unchanged {
						t.Errorf("verdict %d at write %d: %+v", verdict, n, result)
					}
				})
			}
		}
	}
}

func TestKilledAtEachStepLeavesOneRevisionOrTheNext(t *testing.T) {
	// Revision 2 appends a delta, revision 34 also writes a snapshot and deletes the values that it replaces.
	for _, next := range []int{2, 34} {
		before := snapshotBefore(t, next)
		for calls := range 16 {
			synctest.Test(t, func(t *testing.T) { publishAndKill(t, before, next, calls) })
		}
	}
}

func publishAndKill(t *testing.T, before *refplatformtest.Snapshot, next, calls int) {
	store := refplatformtest.NewStore(refplatformtest.StoreOptions{})
	store.Restore(before)
	ctx, kill := context.WithCancel(t.Context())
	defer kill()
	made := 0
	store.SetHook(func(c refplatformtest.Call) refplatformtest.Verdict {
		if c.Client == "publisher" {
			if made++; made > calls {
				kill()
				return memkv.VerdictRefuse
			}
		}
		return memkv.VerdictPass
	})
	_, err := newPublisher(store.NewClient("publisher")).Publish(ctx, alpha(t, next), steering.PublishOptions{})
	c, readErr := newPublisher(store.Client).InForce(t.Context())
	if readErr != nil {
		t.Fatalf("killed after %d calls: %v", calls, readErr)
	}
	moved := c.Revision == steering.Revision(next) && northWeight(c, "alpha") == float64(next)
	kept := c.Revision == steering.Revision(next-1) && northWeight(c, "alpha") == float64(next-1)
	if !moved && !kept || (err == nil) != moved {
		t.Errorf("killed after %d calls: %v, in force %+v", calls, err, c)
	}
	if r := mustPublish(t, newPublisher(store.Client), alpha(t, 99)); r.Revision != c.Revision+1 {
		t.Errorf("killed after %d calls: next revision %d", calls, r.Revision)
	}
}

func TestUnknownOutcomeIsReportedAndSettled(t *testing.T) {
	for _, verdict := range []refplatformtest.Verdict{memkv.VerdictLoseAnswer, memkv.VerdictLoseRequest} {
		synctest.Test(t, func(t *testing.T) {
			store := refplatformtest.NewStore(refplatformtest.StoreOptions{})
			publishBase(t, store.Client)
			down := false
			store.SetHook(func(c refplatformtest.Call) refplatformtest.Verdict {
				if c.Client == "publisher" && down {
					return memkv.VerdictRefuse
				}
				if c.Client == "publisher" && c.Key == steering.HeadKey && c.Op == memkv.OpSwap {
					down = true
					return verdict
				}
				return memkv.VerdictPass
			})
			p := newPublisher(store.NewClient("publisher"))
			_, err := p.Publish(t.Context(), alpha(t, 5), steering.PublishOptions{})
			var unknown *steering.OutcomeUnknownError
			if !errors.As(err, &unknown) {
				t.Fatalf("got %v", err)
			}
			if _, err := p.Settle(t.Context(), unknown.Publication); !errors.As(err, &unknown) {
				t.Fatalf("settled while the store is down: %v", err)
			}
			settlement, err := newPublisher(store.Client).Settle(t.Context(), unknown.Publication)
			if err != nil || settlement.Accepted != (verdict == memkv.VerdictLoseAnswer) {
				t.Fatalf("got %+v %v", settlement, err)
			}
			for north := 6; north < 45; north++ {
				mustPublish(t, newPublisher(store.Client), alpha(t, north))
			}
			again, err := newPublisher(store.Client).Settle(t.Context(), unknown.Publication)
			if err != nil || again.Accepted != settlement.Accepted {
				t.Fatalf("later: got %+v %v", again, err)
			}
		})
	}
}

func TestSettleFencesAWriteInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := refplatformtest.NewStore(refplatformtest.StoreOptions{})
		publishBase(t, store.Client)
		slow := store.NewClient("slow")
		writeStarted := make(chan struct{})
		store.SetHook(func(c refplatformtest.Call) refplatformtest.Verdict {
			if c.Client == "slow" && c.Key == steering.HeadKey && c.Op == memkv.OpSwap {
				slow.SetFaults(refplatformtest.Faults{Delay: time.Minute})
				close(writeStarted)
			}
			return memkv.VerdictPass
		})
		done := make(chan error)
		go func() {
			_, err := newPublisher(slow).Publish(t.Context(), alpha(t, 5), steering.PublishOptions{})
			done <- err
		}()
		<-writeStarted
		var unknown *steering.OutcomeUnknownError
		if err := <-done; !errors.As(err, &unknown) {
			t.Fatalf("got %v", err)
		}
		settlement, err := newPublisher(store.Client).Settle(t.Context(), unknown.Publication)
		if err != nil || settlement.Accepted {
			t.Fatalf("got %+v %v", settlement, err)
		}
		time.Sleep(2 * time.Minute)
		c, err := newPublisher(store.Client).InForce(t.Context())
		if err != nil || c.Revision != 1 {
			t.Fatalf("the fenced write took effect: %+v %v", c, err)
		}
	})
}

func TestStoreDownIsNotAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := refplatformtest.NewStore(refplatformtest.StoreOptions{})
		publishBase(t, store.Client)
		store.SetStoreFaults(refplatformtest.Faults{Down: true})
		_, err := newPublisher(store.Client).Publish(t.Context(), alpha(t, 5), steering.PublishOptions{})
		var refused *steering.NotAcceptedError
		if !errors.As(err, &refused) {
			t.Fatalf("got %v", err)
		}
	})
}

func TestStaleReadIsNotReportedAsUnchanged(t *testing.T) {
	for _, ends := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			store := refplatformtest.NewStore(refplatformtest.StoreOptions{})
			publishBase(t, store.Client)
			old := store.Snapshot()
			mustPublish(t, newPublisher(store.Client), alpha(t, 5))
			stale := store.NewClient("stale")
			stale.SetFaults(refplatformtest.Faults{Stale: old})
			if ends {
				time.AfterFunc(time.Second, func() { stale.SetFaults(refplatformtest.Faults{}) })
			}
			result, err := newPublisher(stale).Publish(t.Context(), alpha(t, 1), steering.PublishOptions{})
			var refused *steering.NotAcceptedError
			var conflict *steering.ConflictError
			switch {
			case ends && (!errors.As(err, &conflict) || conflict.Revision != 2):
				t.Errorf("got %+v %v", result, err)
			case !ends && !errors.As(err, &refused):
				t.Errorf("got %+v %v", result, err)
			}
			if c, err := newPublisher(store.Client).InForce(t.Context()); err != nil || c.Revision != 2 {
				t.Errorf("in force %+v %v", c, err)
			}
		})
	}
}
