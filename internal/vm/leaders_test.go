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

// lossy exchanges between the VMs of a fleet in memory; some messages are lost, requests and answers alike.
type lossy struct {
	all    map[Name]*Exchanger
	random *rand.Rand
	lost   float64
	bytes  int // of all messages sent so far
	count  int
}

func (l *lossy) sent(m proto.Message) bool {
	l.bytes += proto.Size(m)
	l.count++
	return l.random.Float64() >= l.lost
}

func (l *lossy) exchange(x *Exchanger, to Name) {
	req := x.request(to)
	if l.sent(req) {
		reply, _ := l.all[to].Exchange(context.Background(), req)
		if l.sent(reply) {
			x.learn(reply, time.Now())
			return
		}
	}
	x.forgetTold(to)
}

func (l *lossy) round() {
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

// agree reports whether all VMs know the leaders that want has.
func (l *lossy) agree(want uint64) bool {
	for _, x := range l.all {
		if x.opts.Leaders.Digest() != want {
			return false
		}
	}
	return true
}

// TestLeadersSpread changes a zone's leader while a third of all messages is lost, one VM restarts knowing
// nothing under its old name, and the old leader's claim arrives late. All VMs have to agree within the
// 8 s after which an heir takes a zone over.
func TestLeadersSpread(t *testing.T) {
	const rounds = 16 // of 500 ms
	for _, zones := range []int{6, 24, 54, targetZones} {
		synctest.Test(t, func(t *testing.T) {
			l := &lossy{all: newFleet(zones, 1), random: rand.New(rand.NewPCG(uint64(zones), 3)), lost: 0.3}
			l.round()
			rows := make([]VM, zones)
			for i := range rows {
				rows[i] = rowOf(stateOf(i, 0, 0, 0))
			}
			l.all[rows[2].Name] = newExchanger(2, rows)
			first := l.all[rows[0].Name].opts.Leaders
			first.Merge([]*peer.LeaderState{{Zone: string(rows[1].Zone), Vm: string(rows[0].Name), Epoch: 2}})
			took := 0
			for ; took < rounds && !l.agree(first.Digest()); took++ {
				l.round()
				l.all[rows[3].Name].opts.Leaders.Merge([]*peer.LeaderState{{Zone: string(rows[1].Zone), Vm: string(rows[1].Name), Epoch: 1}})
			}
			t.Logf("%d zones: %d rounds", zones, took)
			if !l.agree(first.Digest()) {
				t.Errorf("%d zones: no agreement in %d rounds", zones, rounds)
			}
			if leader, epoch := l.all[rows[2].Name].opts.Leaders.Of(rows[1].Zone); leader != rows[0].Name || epoch != 2 {
				t.Errorf("%d zones: the restarted VM knows %s, epoch %d", zones, leader, epoch)
			}
		})
	}
}

// TestAgreedLeadersAreNotSent holds that the leaders add the same bytes to a heartbeat however many zones
// there are, once all VMs know the same.
func TestAgreedLeadersAreNotSent(t *testing.T) {
	const digestBytes = 9
	for _, zones := range []int{6, 24, 54, targetZones} {
		synctest.Test(t, func(t *testing.T) {
			l := &lossy{all: newFleet(zones, 1), random: rand.New(rand.NewPCG(1, 1))}
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
				t.Errorf("%d zones: %d leaders sent on, %d bytes for the digest", zones, leaders, added)
			}
			t.Logf("%d zones: %d messages of %d bytes on average", zones, l.count, l.bytes/l.count)
		})
	}
}
