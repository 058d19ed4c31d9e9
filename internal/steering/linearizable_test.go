package steering_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/azureflow/azureflow/internal/refplatform/refplatformtest"
	"github.com/azureflow/azureflow/internal/standin/memkv"
	"github.com/azureflow/azureflow/internal/steering"
)

// published is the state of the model: the revision in force and its content.
type published struct {
	revision steering.Revision
	weights  [2]float64           // of alpha and beta
	changed  [2]steering.Revision // when each was last changed
}

// publishInput is a call: a publication of a weight, or a read if service is -1.
type publishInput struct {
	service int
	weight  float64
}

// publishOutput is the result that the caller got; unknown outcomes are settled.
type publishOutput struct {
	accepted bool
	revision steering.Revision
	conflict *steering.ConflictError
	read     published
}

var publishModel = porcupine.Model{
	Init: func() any {
		return published{revision: 1, weights: [2]float64{1, 1}, changed: [2]steering.Revision{1, 1}}
	},
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(published), input.(publishInput), output.(publishOutput)
		switch {
		case in.service < 0:
			return out.read.revision == s.revision && out.read.weights == s.weights, s
		case out.accepted:
			if out.revision != s.revision+1 {
				return false, s
			}
			s.revision++
			s.weights[in.service], s.changed[in.service] = in.weight, s.revision
			return true, s
		case out.conflict != nil:
			return s.changed[in.service] == out.conflict.Revision, s
		}
		return true, s
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
}

// trial runs publishers and readers against a store with faults and records their history.
type trial struct {
	t      *testing.T
	store  *refplatformtest.Store
	mu     sync.Mutex
	random *rand.Rand
	clock  atomic.Int64
	ops    []porcupine.Operation
	counts map[string]int
	cut    map[string]bool // clients that no longer reach the store
}

func (r *trial) setCut(client string, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut[client] = cut
}

func (r *trial) isCut(client string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut[client]
}

func (r *trial) chance(share float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.Float64() < share
}

func (r *trial) randomDuration(d time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.random.Int64N(int64(d)))
}

func (r *trial) hook(c refplatformtest.Call) refplatformtest.Verdict {
	if c.Client == "" {
		return memkv.VerdictPass
	}
	time.Sleep(r.randomDuration(20 * time.Millisecond))
	if c.Op == memkv.OpSwap && r.chance(0.08) {
		// The client is cut off from now on; its write may have taken effect.
		r.setCut(c.Client, true)
		if r.chance(0.5) {
			return memkv.VerdictLoseAnswer
		}
		return memkv.VerdictLoseRequest
	}
	switch {
	case r.isCut(c.Client), r.chance(0.05):
		return memkv.VerdictRefuse
	case r.chance(0.05):
		return memkv.VerdictLoseRequest
	case r.chance(0.10):
		return memkv.VerdictLoseAnswer
	}
	return memkv.VerdictPass
}

func (r *trial) record(client int, call int64, in publishInput, out publishOutput, what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[what]++
	r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: r.clock.Add(1)})
}

// publish makes one publication and settles it if its outcome is unknown.
func (r *trial) publish(client int, service int, weight int, tree *steering.Tree) {
	store := r.store.NewClient(fmt.Sprint(client))
	r.setCut(fmt.Sprint(client), false)
	if r.chance(0.3) {
		store.SetFaults(refplatformtest.Faults{Delay: r.randomDuration(3 * time.Second)})
	}
	p := steering.NewPublisher(steering.PublisherOptions{Store: store, Timeout: 4 * time.Second})
	in := publishInput{service, float64(weight)}
	call := r.clock.Add(1)
	result, err := p.Publish(context.Background(), tree, steering.PublishOptions{})
	var conflict *steering.ConflictError
	var unknown *steering.OutcomeUnknownError
	var refused *steering.NotAcceptedError
	switch {
	case err == nil:
		r.record(client, call, in, publishOutput{accepted: true, revision: result.Revision}, "accepted")
	case errors.As(err, &conflict):
		r.record(client, call, in, publishOutput{conflict: conflict}, "conflict")
	case errors.As(err, &unknown):
		settler := steering.NewPublisher(steering.PublisherOptions{Store: r.store, Timeout: time.Hour})
		s, err := settler.Settle(context.Background(), unknown.Publication)
		if err != nil {
			r.t.Error(err)
		}
		r.record(client, call, in, publishOutput{accepted: s.Accepted, revision: s.Revision}, fmt.Sprint("settled ", s.Accepted))
	case errors.As(err, &refused):
		r.record(client, call, in, publishOutput{}, "not accepted")
	default:
		r.t.Errorf("publication failed with %v", err)
	}
}

func (r *trial) read(client int) {
	call := r.clock.Add(1)
	c, err := newPublisher(r.store.Client).InForce(context.Background())
	if err != nil {
		r.t.Error(err)
		return
	}
	out := published{revision: c.Revision, weights: [2]float64{northWeight(c, "alpha"), northWeight(c, "beta")}}
	r.record(client, call, publishInput{service: -1}, publishOutput{read: out}, "read")
}

func TestConcurrentPublicationsAreLinearizable(t *testing.T) {
	const seeds, publishers, each = 20, 4, 5
	var trees [publishers * each]*steering.Tree
	for i := range trees {
		if i%2 == 0 {
			trees[i] = alpha(t, i+2)
		} else {
			trees[i] = beta(t, i+2)
		}
	}
	counts := make(map[string]int)
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			store := refplatformtest.NewStore(refplatformtest.StoreOptions{})
			publishBase(t, store.Client)
			r := &trial{t: t, store: store, random: rand.New(rand.NewPCG(seed, 1)), counts: counts, cut: make(map[string]bool)}
			store.SetHook(r.hook)
			var group sync.WaitGroup
			for client := range publishers {
				group.Go(func() {
					for k := range each {
						time.Sleep(r.randomDuration(500 * time.Millisecond))
						i := k*publishers + client
						r.publish(client, i%2, i+2, trees[i])
					}
				})
			}
			group.Go(func() {
				for range 3 * each {
					time.Sleep(r.randomDuration(300 * time.Millisecond))
					r.read(publishers)
				}
			})
			group.Wait()
			time.Sleep(time.Minute)
			r.read(publishers)
			if porcupine.CheckOperations(publishModel, r.ops) {
				return
			}
			for _, op := range r.ops {
				t.Logf("%d %d-%d %s", op.ClientId, op.Call, op.Return, publishModel.DescribeOperation(op.Input, op.Output))
			}
			t.Errorf("seed %d: history is not linearizable", seed)
		})
	}
	t.Logf("outcomes over %d seeds: %v", seeds, counts)
	for _, what := range []string{"accepted", "settled true", "settled false"} {
		if counts[what] == 0 {
			t.Errorf("no history holds the outcome %q", what)
		}
	}
}
