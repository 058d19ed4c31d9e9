package zone

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/azureflow/azureflow/internal/vm"
)

// sighting is what this VM knows of the holder of a part of the floor besides its heartbeat.
type sighting struct {
	part     FloorPart // as last read in the record
	since    time.Time // when the record was first seen so
	answered time.Time // last answer to a call
	called   time.Time // first call in this silence; zero: none
}

// lost says whether the holder of a part of the floor has stopped using it. All of these must hold:
//
//   - the VM list has the reader, so it is not broken, and lacks the holder;
//   - the holder was silent for LostAfter, in which this VM itself was not paused;
//   - it was called, and the record took no confirmation from it since;
//   - the zone's upstreams answered all that time, so that no cut of the zone explains the silence.
//
// A holder that was paused finds its part suspended on waking, and one that runs would have been heard
// or would have confirmed its part.
func (e *Elector) lost(p FloorPart, now time.Time) bool {
	if e.opt.IsListed(p.VM) || !e.opt.IsListed(e.opt.Self) || now.Before(e.assumed) {
		return false
	}
	s := e.sightings[p.VM]
	if s == nil || s.called.IsZero() || now.Sub(s.called) < e.opt.TTL/4 || now.Sub(s.since) < e.opt.TTL/2 {
		return false
	}
	need := e.stretch(e.opt.LostAfter)
	near := e.opt.Home || e.opt.ignoreContact || e.contact(now) >= need
	return near && e.silence(p.VM, now) >= need
}

// silence returns for how long this VM has been awake without a sign of life of another one.
func (e *Elector) silence(name vm.Name, now time.Time) time.Duration {
	last := later(later(e.opt.LastContact(name), e.awake), e.started)
	if s := e.sightings[name]; s != nil {
		last = later(last, s.answered)
	}
	return now.Sub(last)
}

// contact returns for how long the zone's upstreams have answered without a break.
func (e *Elector) contact(now time.Time) time.Duration {
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

// sight notes the holders in a record that was just read.
func (e *Elector) sight(r *Record, now time.Time) {
	for _, p := range r.Parts {
		s := e.sighting(p.VM)
		if s.since.IsZero() || !s.part.sameLife(p) {
			s.since = now
		}
		s.part = p
	}
}

// probeSilent calls the leader and the holders of parts that were not heard for a while, and reads the
// record while one of them does not answer, so that the part of a lost VM can be given to others soon.
func (e *Elector) probeSilent(ctx context.Context) {
	now := e.opt.Now()
	e.mu.Lock()
	silent := e.silentPeers(now)
	e.mu.Unlock()
	if len(silent) == 0 {
		return
	}
	e.probeAll(ctx, silent)
	if e.seesSilence() {
		e.readRecord(ctx)
	}
}

// silentPeers returns the VMs to probe: the leader if this VM holds a part or may lead, and the holders of
// parts if it leads or may lead.
func (e *Elector) silentPeers(now time.Time) []vm.Name {
	may := e.isSuccessor() || e.leads(now)
	if e.opt.RequestPromise == nil || !may && e.part == 0 {
		return nil
	}
	names := []vm.Name{e.state.VM}
	if may {
		for _, p := range e.record.Parts {
			names = append(names, p.VM)
		}
	}
	slices.Sort(names)
	return slices.DeleteFunc(slices.Compact(names), func(name vm.Name) bool {
		if name == "" || name == e.opt.Self {
			return true
		}
		silent := e.silence(name, now) > e.opt.TTL/4
		if s := e.sightings[name]; s != nil && !silent {
			s.called = time.Time{}
		}
		return !silent
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

// probe calls a silent VM. If only its answers are lost, it learns that it is doubted.
func (e *Elector) probe(ctx context.Context, name vm.Name) {
	a := e.ask(ctx, name, probeSlots, 0)
	now := e.opt.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.sighting(name)
	switch {
	case a.reached:
		s.answered, s.called = now, time.Time{}
	case s.called.IsZero():
		s.called = now
	}
}

func (e *Elector) sighting(name vm.Name) *sighting {
	s := e.sightings[name]
	if s == nil {
		s = &sighting{}
		e.sightings[name] = s
	}
	return s
}

// seesSilence says whether a VM that is silent did not answer a probe.
func (e *Elector) seesSilence() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.record.Parts {
		if s := e.sightings[p.VM]; s != nil && !s.called.IsZero() {
			return true
		}
	}
	s := e.sightings[e.state.VM]
	return s != nil && !s.called.IsZero()
}

// storeInterval returns the time to the next round of StepStore: it is short while a silent VM may have
// to be replaced.
func (e *Elector) storeInterval() time.Duration {
	if e.seesSilence() {
		return e.opt.Interval / 2
	}
	return e.opt.Interval
}
