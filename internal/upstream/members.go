package upstream

import (
	"time"

	"github.com/azureflow/azureflow/internal/request"
	"github.com/azureflow/azureflow/internal/vm"
)

// Update sets the servers of the pool from the VM list. A server that stays keeps its state; a new
// or restarted one warms up by a ramp, unless the whole pool is new: then there is no warmer one.
func (p *Pool) Update(servers []vm.VM, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.snapshot.Load()
	next := &snapshot{epoch: old.epoch, servers: make([]*server, 0, len(servers))}
	if old.epoch.IsZero() {
		next.epoch = now.Add(-time.Hour) // times stay above 0, which means never
	}
	known, first := old.byName(), oldest(servers)
	for _, listed := range servers {
		s := known[listed.Name]
		if s == nil || !sameLife(&s.vm, &listed) {
			s = newServer(listed)
			p.startRamp(s, len(known) > 0, first, next.at(now))
		}
		s.listLeaving.Store(listed.State == vm.StateLeaving)
		next.add(s)
	}
	p.snapshot.Store(next)
	p.relax()
	p.refresh()
}

func newServer(listed vm.VM) *server {
	return &server{vm: listed, slots: int32(max(listed.Slots, 1))}
}

// sameLife reports whether listed is the same life of the server known. A server that only began to
// leave is the same; a live one at another address or with a later beginning was restarted.
func sameLife(known *vm.VM, listed *vm.VM) bool {
	if known.Address != listed.Address || known.Slots != listed.Slots {
		return false
	}
	return listed.State != vm.StateLive || known.Since.Equal(listed.Since)
}

// byName returns the servers by their names.
func (s *snapshot) byName() map[vm.Name]*server {
	servers := make(map[vm.Name]*server, len(s.servers))
	for _, known := range s.servers {
		servers[known.vm.Name] = known
	}
	return servers
}

// startRamp begins the ramp of a new server. At the first update only a server that began lately,
// beside others that began before, is new.
func (p *Pool) startRamp(s *server, known bool, oldest time.Time, at int64) {
	if known || s.vm.Since.Sub(oldest) > p.options.Warmup {
		s.warmFrom.Store(at)
	}
}

// oldest returns the earliest beginning among servers.
func oldest(servers []vm.VM) time.Time {
	var first time.Time
	for i, s := range servers {
		if i == 0 || s.Since.Before(first) {
			first = s.Since
		}
	}
	return first
}

func (s *snapshot) add(member *server) {
	s.servers = append(s.servers, member)
	if !member.leaving() {
		s.slots += int(member.slots)
	}
}

func (s *snapshot) find(name vm.Name) *server {
	for _, known := range s.servers {
		if known.vm.Name == name {
			return known
		}
	}
	return nil
}

// RecordLoadReport notes a load report of a server that was seen at the time at. Reports may be late or
// wrong: they count less the older they are, and less than what this VM saw itself.
func (p *Pool) RecordLoadReport(name vm.Name, load request.UpstreamLoad, at time.Time) {
	snap := p.snapshot.Load()
	if s := snap.find(name); s != nil {
		p.observe(s, load, snap.at(at))
	}
}

func (p *Pool) observe(s *server, load request.UpstreamLoad, at int64) {
	s.report.Store(&report{load: load, at: at})
	if load.Draining {
		p.drain(s, at)
		return
	}
	drained := s.drainedAt.Load()
	if drained != 0 && at-drained > int64(p.options.UndrainAfter) {
		s.drainedAt.CompareAndSwap(drained, 0)
		p.recount()
	}
}

// MarkDraining notes a sign that a server leaves: it gets no new work from now on. The sign may come from
// its health answer, from a response or from a peer. It holds until the server restarts, or until
// reports without a drain still come in Options.UndrainAfter later.
func (p *Pool) MarkDraining(name vm.Name, now time.Time) {
	snap := p.snapshot.Load()
	if s := snap.find(name); s != nil {
		p.drain(s, snap.at(now))
	}
}

func (p *Pool) drain(s *server, at int64) {
	first := s.drainedAt.Swap(at) == 0
	if first {
		p.recount()
	}
}

// recount adapts the pool to a drain that began or ended.
func (p *Pool) recount() {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.snapshot.Load()
	next := &snapshot{epoch: old.epoch}
	for _, s := range old.servers {
		next.add(s)
	}
	p.snapshot.Store(next)
	p.relax()
	p.refresh()
}

// RecordPoll notes a poll of a server that began at the time at, and whether it reached the server: by an answer
// of any status or a connection that was made. A sign of a polled server, this or an answer to a request,
// counts for the time valid. After that the server gets no new work until the next sign, since it may have left
// or be out of reach without this VM's knowledge.
func (p *Pool) RecordPoll(name vm.Name, at time.Time, valid time.Duration, reached bool) {
	snap := p.snapshot.Load()
	s := snap.find(name)
	if s == nil {
		return
	}
	first := s.sightFor.Swap(int64(valid)) == 0
	if !reached && !first {
		return
	}
	if s.see(snap.at(at)) && p.options.OnCapacity != nil {
		p.options.OnCapacity()
	}
}

// ServerStatus is what the administration API shows of a server.
type ServerStatus struct {
	Name         vm.Name       `json:"name"`
	Address      string        `json:"address"`
	Slots        int           `json:"slots"`
	InFlight     int           `json:"in_flight"` // attempts of this VM
	Leaving      bool          `json:"leaving"`
	Ejected      string        `json:"ejected,omitempty"` // "slow" or "failing"
	EjectedUntil time.Time     `json:"ejected_until,omitzero"`
	Warmth       float64       `json:"warmth"`        // 0 to 1
	Latency      time.Duration `json:"latency_ns"`    // of interactive work, moving average
	ReportAge    time.Duration `json:"report_age_ns"` // -1: no report
	Reported     int           `json:"reported"`      // requests in flight and queued by its report
}

// Servers returns the status of each server at the time now.
func (p *Pool) Servers(now time.Time) []ServerStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	snap := p.snapshot.Load()
	list := make([]ServerStatus, 0, len(snap.servers))
	for _, s := range snap.servers {
		list = append(list, p.status(s, snap, snap.at(now)))
	}
	return list
}

func (p *Pool) status(s *server, snap *snapshot, at int64) ServerStatus {
	status := ServerStatus{
		Name:      s.vm.Name,
		Address:   s.vm.Address,
		Slots:     int(s.slots),
		InFlight:  int(s.inFlight.Load()),
		Leaving:   s.leaving(),
		Warmth:    s.warmth(at, int64(p.options.Warmup)),
		Latency:   time.Duration(s.classes[0].latency.load()),
		ReportAge: -1,
	}
	if until := s.ejectedUntil.Load(); until != 0 {
		status.Ejected = causeNames[s.ejection.cause]
		status.EjectedUntil = snap.epoch.Add(time.Duration(until))
	}
	if r := s.report.Load(); r != nil {
		status.ReportAge = time.Duration(at - r.at)
		status.Reported = r.load.InFlight + r.load.Queued
	}
	return status
}
