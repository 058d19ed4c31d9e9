package contract

import (
	"slices"
	"time"

	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/vm"
)

// holderID identifies one incarnation of a VM that holds grants.
type holderID struct {
	name        vm.Name
	incarnation vm.Incarnation
}

// issue is one grant that was made and that its holder may still use until expiry.
type issue struct {
	id     uint64
	slots  int64
	expiry time.Time
}

// holderGrants are the grants of one service to one holder.
type holderGrants struct {
	holder      holderID
	issues      []issue // oldest first; the holder uses one of them
	requestID   uint64  // last request_id
	reply       *peer.AskGrantReply
	want        int64
	member      bool // the holder is in the zone
	requestedAt time.Time
}

// ledger records the grants of one service in a zone.
type ledger struct {
	key     Key
	slots   int64   // capacity of the zone
	share   float64 // fraction of slots that is the floor
	own     int64   // slots of the floor that belong to this VM
	others  int64   // slots of the floor that belong to other VMs
	holders map[holderID]*holderGrants
	need    demandEstimate
	ownWant int64
}

func newLedger(key Key) *ledger {
	return &ledger{key: key, holders: make(map[holderID]*holderGrants)}
}

// reserved returns the maximum number of slots that the holder of l may use at now.
func (l *holderGrants) reserved(now time.Time) int64 {
	highest := int64(0)
	for _, i := range l.issues {
		if now.Before(i.expiry) {
			highest = max(highest, i.slots)
		}
	}
	return highest
}

// confirmGrant removes the issues before grant, which the holder reports to use now, and keeps that one reserved until
// expiry, because requests that were started under it may still be in flight.
func (l *holderGrants) confirmGrant(grant uint64, expiry time.Time) {
	for i := range l.issues {
		if l.issues[i].id != grant {
			continue
		}
		if expiry.After(l.issues[i].expiry) {
			l.issues[i].expiry = expiry
		}
		l.issues = slices.Delete(l.issues, 0, i)
		return
	}
}

// removeExpired removes expired issues, and holders without issues that made no request for holderRetention.
func (g *ledger) removeExpired(now time.Time) {
	for id, l := range g.holders {
		l.issues = slices.DeleteFunc(l.issues, func(i issue) bool { return !now.Before(i.expiry) })
		if len(l.issues) == 0 && now.Sub(l.requestedAt) > holderRetention {
			delete(g.holders, id)
		}
	}
}

// reserved returns the slots that all holders except one may use.
func (g *ledger) reserved(now time.Time, except *holderGrants) int64 {
	sum := int64(0)
	for _, l := range g.holders {
		if l != except {
			sum += l.reserved(now)
		}
	}
	return sum
}

// fairShare returns the fair share of l in total slots. VMs of the zone have precedence over the others.
func (g *ledger) fairShare(total int64, l *holderGrants, now time.Time) int64 {
	members := []int64{max(0, g.ownWant-g.own)}
	var others []int64
	for _, k := range g.holders {
		switch {
		case k == l || now.Sub(k.requestedAt) >= wantTTL:
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

func (g *ledger) grantsOf(id holderID) *holderGrants {
	l := g.holders[id]
	if l == nil {
		l = &holderGrants{holder: id}
		g.holders[id] = l
	}
	return l
}
