package zone

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/azureflow/azureflow/internal/vm"
)

// holderStatus is what this VM knows of the holder of a part of the floor besides its heartbeats.
type holderStatus struct {
	part            FloorPart // as last read from the record
	partSince       time.Time // when the record was first seen with this confirmation of the part
	respondedAt     time.Time // last response to a probe
	unansweredProbe time.Time // first probe since the last contact; zero: none
}

// isLost reports whether the holder of a part of the floor has stopped using it. All of these must hold:
//
//   - the VM list contains the VM that checks, so the list is not broken, and does not contain the holder;
//   - there was no contact with the holder for LostAfter, in which this VM itself was not paused;
//   - the holder was probed, and has not confirmed its part in the record since;
//   - this VM is in the zone, or the zone's upstreams responded all that time, so that no cut of the zone explains the
//     lack of contact.
//
// A holder that was paused finds its part suspended when it resumes. A holder that runs would have been in contact or
// would have confirmed its part.
func (e *Elector) isLost(p FloorPart, now time.Time) bool {
	if e.opt.IsListed(p.VM) || !e.opt.IsListed(e.opt.Self) || now.Before(e.peerAssumesUntil) {
		return false
	}
	s := e.holders[p.VM]
	if s == nil || s.unansweredProbe.IsZero() || now.Sub(s.unansweredProbe) < e.opt.TTL/4 || now.Sub(s.partSince) < e.opt.TTL/2 {
		return false
	}
	need := e.stretch(e.opt.LostAfter)
	near := e.opt.Home || e.opt.ignoreReachability || e.reachableFor(now) >= need
	return near && e.timeWithoutContact(p.VM, now) >= need
}

// timeWithoutContact returns for how long this VM has been running without contact with another one.
func (e *Elector) timeWithoutContact(name vm.Name, now time.Time) time.Duration {
	last := later(later(e.opt.LastContact(name), e.resumedAt), e.started)
	if s := e.holders[name]; s != nil {
		last = later(last, s.respondedAt)
	}
	return now.Sub(last)
}

// reachableFor returns for how long the zone's upstreams have responded without interruption.
func (e *Elector) reachableFor(now time.Time) time.Duration {
	if e.opt.UpstreamsReachableSince == nil {
		return 0
	}
	since := e.opt.UpstreamsReachableSince()
	if since.IsZero() {
		return 0
	}
	return now.Sub(since)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// recordHolders records the holders in a record that was just read.
func (e *Elector) recordHolders(r *Record, now time.Time) {
	for _, p := range r.Parts {
		s := e.holder(p.VM)
		if s.partSince.IsZero() || !s.part.sameConfirmation(p) {
			s.partSince = now
		}
		s.part = p
	}
}

// probeUnresponsive probes the leader and the holders of parts that were without contact for a while. It reads the
// record while one of them does not respond, so that the part of a lost VM can soon be given to others.
func (e *Elector) probeUnresponsive(ctx context.Context) {
	now := e.opt.Now()
	e.mu.Lock()
	unresponsive := e.unresponsivePeers(now)
	e.mu.Unlock()
	if len(unresponsive) == 0 {
		return
	}
	e.probeAll(ctx, unresponsive)
	if e.hasUnansweredProbe() {
		e.readRecord(ctx)
	}
}

// unresponsivePeers returns the VMs to probe: the leader if this VM holds a part or may lead, and the holders of parts
// if it leads or may lead.
func (e *Elector) unresponsivePeers(now time.Time) []vm.Name {
	canLead := e.isSuccessor() || e.isLeader(now)
	if e.opt.RequestPromise == nil || !canLead && e.part == 0 {
		return nil
	}
	names := []vm.Name{e.state.VM}
	if canLead {
		for _, p := range e.record.Parts {
			names = append(names, p.VM)
		}
	}
	slices.Sort(names)
	return slices.DeleteFunc(slices.Compact(names), func(name vm.Name) bool {
		if name == "" || name == e.opt.Self {
			return true
		}
		unresponsive := e.timeWithoutContact(name, now) > e.opt.TTL/4
		if s := e.holders[name]; s != nil && !unresponsive {
			s.unansweredProbe = time.Time{}
		}
		return !unresponsive
	})
}

func (e *Elector) probeAll(ctx context.Context, names []vm.Name) {
	ctx, cancel := context.WithTimeout(ctx, e.opt.Interval/2)
	defer cancel()
	var calls sync.WaitGroup
	for _, name := range names {
		calls.Go(func() { e.probe(ctx, name) })
	}
	calls.Wait()
}

// probe calls an unresponsive VM. If only its responses are lost, the call makes it confirm its part.
func (e *Elector) probe(ctx context.Context, name vm.Name) {
	a := e.sendZoneRequest(ctx, name, probeSlots, 0)
	now := e.opt.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.holder(name)
	switch {
	case a.reached:
		s.respondedAt, s.unansweredProbe = now, time.Time{}
	case s.unansweredProbe.IsZero():
		s.unansweredProbe = now
	}
}

func (e *Elector) holder(name vm.Name) *holderStatus {
	s := e.holders[name]
	if s == nil {
		s = &holderStatus{}
		e.holders[name] = s
	}
	return s
}

// hasUnansweredProbe reports whether the leader or the holder of a part has not responded to a probe.
func (e *Elector) hasUnansweredProbe() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.record.Parts {
		if s := e.holders[p.VM]; s != nil && !s.unansweredProbe.IsZero() {
			return true
		}
	}
	s := e.holders[e.state.VM]
	return s != nil && !s.unansweredProbe.IsZero()
}

// storeInterval returns the time until the next round of StepStore: it is short while an unresponsive VM may have to be
// replaced.
func (e *Elector) storeInterval() time.Duration {
	if e.hasUnansweredProbe() {
		return e.opt.Interval / 2
	}
	return e.opt.Interval
}
