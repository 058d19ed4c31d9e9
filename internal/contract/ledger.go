package contract

import (
	"slices"
	"time"

	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/vm"
)

// holderID names one life of a VM that holds grants.
type holderID struct {
	name        vm.Name
	incarnation vm.Incarnation
}

// issue is one grant that was made and that its holder may still believe in until lapse.
type issue struct {
	id    uint64
	slots int64
	lapse time.Time
}

// loan is what one holder was granted of a service.
type loan struct {
	holder  holderID
	issues  []issue // oldest first; the holder believes in one of them
	request uint64  // last request_id
	reply   *peer.AskGrantReply
	want    int64
	member  bool // the holder stands in the zone
	askedAt time.Time
}

// ledger is the account of one service in a zone.
type ledger struct {
	key     Key
	slots   int64   // capacity of the zone
	share   float64 // of slots that is the floor
	own     int64   // part of the floor that is this VM's
	others  int64   // parts of the floor that are other VMs'
	loans   map[holderID]*loan
	need    need
	ownWant int64
}

func newLedger(key Key) *ledger {
	return &ledger{key: key, loans: make(map[holderID]*loan)}
}

// reserved returns the most slots that the holder of l may believe in at now.
func (l *loan) reserved(now time.Time) int64 {
	most := int64(0)
	for _, i := range l.issues {
		if now.Before(i.lapse) {
			most = max(most, i.slots)
		}
	}
	return most
}

// confirm forgets the issues before grant, which the holder says that it uses now, and keeps that
// one reserved until lapse: requests begun under it may go on.
func (l *loan) confirm(grant uint64, lapse time.Time) {
	for i := range l.issues {
		if l.issues[i].id != grant {
			continue
		}
		if lapse.After(l.issues[i].lapse) {
			l.issues[i].lapse = lapse
		}
		l.issues = slices.Delete(l.issues, 0, i)
		return
	}
}

// expire forgets lapsed issues and loans without any.
func (g *ledger) expire(now time.Time) {
	for id, l := range g.loans {
		l.issues = slices.DeleteFunc(l.issues, func(i issue) bool { return !now.Before(i.lapse) })
		if len(l.issues) == 0 && now.Sub(l.askedAt) > forgetAfter {
			delete(g.loans, id)
		}
	}
}

// reserved returns the slots that any holder but one may believe in.
func (g *ledger) reserved(now time.Time, but *loan) int64 {
	sum := int64(0)
	for _, l := range g.loans {
		if l != but {
			sum += l.reserved(now)
		}
	}
	return sum
}

// fair returns the fair part of l in total slots: the VMs of the zone first, then the others.
func (g *ledger) fair(total int64, l *loan, now time.Time) int64 {
	members := []int64{max(0, g.ownWant-g.own)}
	var others []int64
	for _, k := range g.loans {
		switch {
		case k == l || now.Sub(k.askedAt) >= wantLife:
		case k.member:
			members = append(members, k.want)
		default:
			others = append(others, k.want)
		}
	}
	if l.member {
		return fairShares(total, append(members, l.want))[len(members)]
	}
	for _, share := range fairShares(total, members) {
		total -= share
	}
	return fairShares(total, append(others, l.want))[len(others)]
}

func (g *ledger) loan(id holderID) *loan {
	l := g.loans[id]
	if l == nil {
		l = &loan{holder: id}
		g.loans[id] = l
	}
	return l
}
