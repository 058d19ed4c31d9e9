package vm

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/azureflow/azureflow/internal/peer"
)

// lossyNetwork runs exchanges between the VMs of a fleet in memory and drops some of the messages, both
// requests and responses.
type lossyNetwork struct {
	all    map[Name]*Exchanger
	random *rand.Rand
	lost   float64
	bytes  int // total size of all messages sent so far
	count  int
}

func (l *lossyNetwork) deliver(m proto.Message) bool {
	l.bytes += proto.Size(m)
	l.count++
	return l.random.Float64() >= l.lost
}

func (l *lossyNetwork) exchange(x *Exchanger, to Name) {
	req := x.newRequest(to)
	if l.deliver(req) {
		reply, _ := l.all[to].Exchange(context.Background(), req)
		if l.deliver(reply) {
			x.merge(reply, time.Now())
			return
		}
	}
	x.resetPeer(to)
}

func (l *lossyNetwork) round() {
	names := make([]Name, 0, len(l.all))
	for name := range l.all {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		for _, target := range l.all[name].targets() {
			l.exchange(l.all[name], target.Name)
		}
	}
	time.Sleep(500 * time.Millisecond)
}

// allAgree reports whether the leaders of all VMs have the digest want.
func (l *lossyNetwork) allAgree(want uint64) bool {
	for _, x := range l.all {
		if x.opts.Leaders.Digest() != want {
			return false
		}
	}
	return true
}

// TestLeadersSpread changes the leader of a zone while 30% of all messages are lost, one VM restarts under its old
// name without any state, and the claim of the old leader arrives late. All VMs must agree within the 8 s after which
// a successor takes over a zone.
func TestLeadersSpread(t *testing.T) {
	const rounds = 16 // of 500 ms
	for _, zones := range []int{6, 24, 54, targetZones} {
		synctest.Test(t, func(t *testing.T) {
			l := &lossyNetwork{all: newFleet(zones, 1), random: rand.New(rand.NewPCG(uint64(zones), 3)), lost: 0.3}
			l.round()
			rows := make([]VM, zones)
			for i := range rows {
				rows[i] = rowOf(stateOf(i, 0, 0, 0))
			}
			l.all[rows[2].Name] = newExchanger(2, rows)
			first := l.all[rows[0].Name].opts.Leaders
			first.Merge([]*peer.LeaderState{{Zone: string(rows[1].Zone), Vm: string(rows[0].Name), Epoch: 2}})
			took := 0
			for ; took < rounds && !l.allAgree(first.Digest()); took++ {
				l.round()
				l.all[rows[3].Name].opts.Leaders.Merge([]*peer.LeaderState{{Zone: string(rows[1].Zone), Vm: string(rows[1].Name), Epoch: 1}})
			}
			t.Logf("%d zones: %d rounds", zones, took)
			if !l.allAgree(first.Digest()) {
				t.Errorf("%d zones: no agreement in %d rounds", zones, rounds)
			}
			if leader, epoch := l.all[rows[2].Name].opts.Leaders.Of(rows[1].Zone); leader != rows[0].Name || epoch != 2 {
				t.Errorf("%d zones: the restarted VM knows %s, epoch %d", zones, leader, epoch)
			}
		})
	}
}

// TestAgreedLeadersAreNotSent checks that, once all VMs know the same leaders, these add only the digest to a
// heartbeat, regardless of the number of zones.
func TestAgreedLeadersAreNotSent(t *testing.T) {
	const digestBytes = 9
	for _, zones := range []int{6, 24, 54, targetZones} {
		synctest.Test(t, func(t *testing.T) {
			l := &lossyNetwork{all: newFleet(zones, 1), random: rand.New(rand.NewPCG(1, 1))}
			for range 6 {
				l.round()
			}
			leaders := 0
			for name, x := range l.all {
				for other := range l.all {
					if _, heard := x.digests[other]; heard && other != name {
						leaders += len(x.leadersFor(other))
					}
				}
			}
			plain := &peer.ExchangeRequest{Self: stateOf(0, 0, 0, 100)}
			size := proto.Size(plain)
			plain.LeadersDigest = 1
			if added := proto.Size(plain) - size; leaders > 0 || added > digestBytes {
				t.Errorf("%d zones: %d leaders sent, %d bytes for the digest", zones, leaders, added)
			}
			t.Logf("%d zones: %d messages of %d bytes on average", zones, l.count, l.bytes/l.count)
		})
	}
}
