package upstream

import (
	"time"

	"github.com/azureflow/azureflow/internal/request"
	"github.com/azureflow/azureflow/internal/vm"
)

// Update sets the servers of the pool from the VM list. A server that stays keeps its state. The slots of a new or
// restarted server ramp up over Options.Warmup, unless the whole pool is new: then no server is warmer.
func (p *Pool) Update(servers []vm.VM, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.snapshot.Load()
	next := &snapshot{epoch: old.epoch, servers: make([]*server, 0, len(servers))}
	if old.epoch.IsZero() {
		next.epoch = now.Add(-time.Hour) // keeps times above 0, which stands for never
	}
	previous, first := old.byName(), earliestSince(servers)
	for _, listed := range servers {
		s := previous[listed.Name]
		if s == nil || !isSameIncarnation(&s.vm, &listed) {
			s = newServer(listed)
			p.startRamp(s, len(previous) > 0, first, next.at(now))
		}
		s.listLeaving.Store(listed.State == vm.StateLeaving)
		next.add(s)
	}
	p.snapshot.Store(next)
	p.restoreToMinimum()
	p.refreshTotals()
}

func newServer(listed vm.VM) *server {
	return &server{vm: listed, slots: int32(max(listed.Slots, 1))}
}

// isSameIncarnation reports whether listed is the same incarnation of the server known. A server that only started to
// leave is the same; one with another address or number of slots, or a live one with another start time, is not.
func isSameIncarnation(known *vm.VM, listed *vm.VM) bool {
	if known.Address != listed.Address || known.Slots != listed.Slots {
		return false
	}
	return listed.State != vm.StateLive || known.Since.Equal(listed.Since)
}

// byName returns the servers by name.
func (s *snapshot) byName() map[vm.Name]*server {
	servers := make(map[vm.Name]*server, len(s.servers))
	for _, known := range s.servers {
		servers[known.vm.Name] = known
	}
	return servers
}

// startRamp starts the warm-up ramp of a new server. In the first update of a pool a server counts as new only if it
// started more than Options.Warmup after the earliest one.
func (p *Pool) startRamp(s *server, hadServers bool, earliest time.Time, at int64) {
	if hadServers || s.vm.Since.Sub(earliest) > p.options.Warmup {
		s.warmFrom.Store(at)
	}
}

// earliestSince returns the earliest start time among servers.
func earliestSince(servers []vm.VM) time.Time {
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

// RecordLoadReport records a load report of a server that was received at the time at. Reports may be late or wrong:
// they count less the older they are, and less than what this VM measures itself.
func (p *Pool) RecordLoadReport(name vm.Name, load request.UpstreamLoad, at time.Time) {
	snap := p.snapshot.Load()
	if s := snap.find(name); s != nil {
		p.recordLoadReport(s, load, snap.at(at))
	}
}

func (p *Pool) recordLoadReport(s *server, load request.UpstreamLoad, at int64) {
	s.report.Store(&report{load: load, at: at})
	if load.Draining {
		p.markDraining(s, at)
		return
	}
	drained := s.drainedAt.Load()
	if drained != 0 && at-drained > int64(p.options.UndrainAfter) {
		s.drainedAt.CompareAndSwap(drained, 0)
		p.rebuildSnapshot()
	}
}

// MarkDraining marks a server as leaving: it gets no new requests from now on. The notice may come from its health
// endpoint, a response or a peer. The mark stays until the server restarts, or until a report without a drain arrives
// more than Options.UndrainAfter after the last notice.
func (p *Pool) MarkDraining(name vm.Name, now time.Time) {
	snap := p.snapshot.Load()
	if s := snap.find(name); s != nil {
		p.markDraining(s, snap.at(now))
	}
}

func (p *Pool) markDraining(s *server, at int64) {
	first := s.drainedAt.Swap(at) == 0
	if first {
		p.rebuildSnapshot()
	}
}

// rebuildSnapshot updates the slots and the servers in use after a drain started or ended.
func (p *Pool) rebuildSnapshot() {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.snapshot.Load()
	next := &snapshot{epoch: old.epoch}
	for _, s := range old.servers {
		next.add(s)
	}
	p.snapshot.Store(next)
	p.restoreToMinimum()
	p.refreshTotals()
}

// RecordPoll records a poll of a server that started at the time at, and whether it reached the server: by a response
// of any status or by a new connection. A contact with a polled server, by a poll or by a response to a request, is
// valid for ttl. After that the server gets no new requests until the next contact, since it may have left or be
// unreachable without this VM's knowledge.
func (p *Pool) RecordPoll(name vm.Name, at time.Time, ttl time.Duration, reached bool) {
	snap := p.snapshot.Load()
	s := snap.find(name)
	if s == nil {
		return
	}
	first := s.contactTTL.Swap(int64(ttl)) == 0
	if !reached && !first {
		return
	}
	if s.recordContact(snap.at(at)) && p.options.OnCapacity != nil {
		p.options.OnCapacity()
	}
}

// ServerStatus is the state of a server in the administration API.
type ServerStatus struct {
	Name         vm.Name       `json:"name"`
	Address      string        `json:"address"`
	Slots        int           `json:"slots"`
	InFlight     int           `json:"in_flight"` // attempts of this VM
	Leaving      bool          `json:"leaving"`
	Ejected      string        `json:"ejected,omitempty"` // "slow" or "failing"
	EjectedUntil time.Time     `json:"ejected_until,omitzero"`
	Warmth       float64       `json:"warmth"`        // 0 to 1
	Latency      time.Duration `json:"latency_ns"`    // moving average of interactive requests
	ReportAge    time.Duration `json:"report_age_ns"` // -1: no report
	Reported     int           `json:"reported"`      // requests in flight and queued in its last report
}

// Servers returns the status of every server at the time now.
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
