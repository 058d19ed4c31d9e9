package placement

import (
	"math"
	"time"
)

// Constants of the state of a server.
const (
	warmCapacity     = 45                     // objects that a server is assumed to keep
	reportFresh      = 300 * time.Millisecond // a report has its full weight for this long
	reportStale      = 1500 * time.Millisecond
	othersHalfLife   = time.Second // in which an old mean loses half of its weight
	factorWeight     = 0.15        // of a new sample of a server's slowness
	othersWeight     = 0.1         // of a new sample of the load from other entry VMs
	slownessMax      = 20.0
	slownessMin      = 0.3
	factorMax        = 12.0 // slowness of the slowest servers in the recorded days of the deployments
	factorMin        = 0.5
	factorHalfLife   = 2 * time.Second        // in which a server's factor moves halfway back to 1
	ratioMax         = 4.0                    // of one sample: a single long request says little
	slownessFresh    = 600 * time.Millisecond // interval at which the machine's slowness changes
	slownessHalfLife = 2 * time.Second        // then the rest of the slowness halves in this time, like a server's factor
	rttHalfLife      = 5 * time.Second        // in which a measured round trip moves halfway back to the usual one
	stragglerRatio   = 2.5                    // in flight for this many times the expected time
)

// Server is the state of one server as this entry VM knows it.
type Server struct {
	member     Member
	running    map[*Placement]struct{} // requests of this entry VM
	warm       *warmObjects
	coldUntil  time.Time
	coldRate   tokenBucket
	senderRank int // of this entry VM among those that may send to the server while it is cold
	rankEpoch  int // of the Chooser, in which senderRank was computed
	health     health
	notice     *notice // nil: the server said nothing

	reportedAt     time.Time // time of the last report
	othersLoad     float64   // requests of other entry VMs at the server, by the last report
	othersLoadMean float64
	assumedLoad    float64 // the same where no report shows it
	slowness       float64 // of its machine, by the last report
	factor         float64 // service time relative to other servers, without what reports show, at factorUpdated
	factorUpdated  time.Time
	slotHoldTime   float64 // mean time that a request holds a slot at usual speed, in seconds
	rtt            float64 // seconds, of the recent connection that was opened fastest; 0: not measured
	rttMeasured    time.Time
}

func newServer(m Member) *Server {
	return &Server{
		member:   m,
		running:  make(map[*Placement]struct{}),
		warm:     newWarmObjects(warmCapacity),
		slowness: 1,
		factor:   1,
	}
}

// applyMember applies a newer entry of the registry. A later incarnation under the same ID starts without state.
func (s *Server) applyMember(m Member) {
	restarted := m.Born.After(s.member.Born)
	if restarted {
		s.warm.clear()
		s.health = health{}
		s.slowness, s.factor, s.othersLoad, s.othersLoadMean = 1, 1, 0, 0
	}
	if m.ColdFor > 0 {
		s.coldUntil = m.Seen.Add(m.ColdFor)
	} else if restarted {
		s.coldUntil = time.Time{}
	}
	s.member = m
}

// isLeaving reports whether the server is leaving, by the registry or by its own responses.
func (s *Server) isLeaving() bool { return s.member.Draining || s.notice != nil && s.notice.isLeaving }

// isCold reports whether the server is still cold at now.
func (s *Server) isCold(now time.Time) bool { return now.Before(s.coldUntil) }

// load returns how many requests of all entry VMs the server is assumed to have at now.
func (s *Server) load(now time.Time) float64 {
	return float64(len(s.running)) + s.othersLoadAt(now)
}

// othersLoadAt returns the requests of other entry VMs at the server. A report has its full weight while it is fresh
// and then gives way to the mean of earlier reports. Without a newer report that mean decays to the assumed load, so
// that a server which was full once is tried again.
func (s *Server) othersLoadAt(now time.Time) float64 {
	if s.reportedAt.IsZero() {
		return s.assumedLoad
	}
	age := now.Sub(s.reportedAt)
	if age <= reportFresh {
		return s.othersLoad
	}
	if age < reportStale {
		old := float64(age-reportFresh) / float64(reportStale-reportFresh)
		return s.othersLoad*(1-old) + s.othersLoadMean*old
	}
	return s.assumedLoad + (s.othersLoadMean-s.assumedLoad)*math.Exp2(-(age-reportStale).Seconds()/othersHalfLife.Seconds())
}

// slownessAt returns how slow work is at the server at now, relative to the usual. The machine's part of it changes
// within slownessFresh, so an old report says little.
func (s *Server) slownessAt(now time.Time) float64 {
	machine := s.slowness
	if old := now.Sub(s.reportedAt) - slownessFresh; old > 0 {
		machine = 1 + (machine-1)/3*math.Exp2(-old.Seconds()/slownessHalfLife.Seconds())
	}
	return machine * s.factorAt(now) * s.overdueFactor(now)
}

// roundTrip returns the expected round trip to the server at now, in seconds like usual. The weight of a connection
// that took long to open decreases with time, since it says less and less about others.
func (s *Server) roundTrip(usual float64, now time.Time) float64 {
	switch {
	case s.rtt == 0:
		return usual
	case s.rtt <= usual:
		return s.rtt
	}
	return usual + (s.rtt-usual)*math.Exp2(-now.Sub(s.rttMeasured).Seconds()/rttHalfLife.Seconds())
}

// overdueFactor returns by how much the requests in flight exceed their expected time, 1 if they do not. One long
// request is no evidence: at least two, and half of those in flight, must be overdue.
func (s *Server) overdueFactor(now time.Time) float64 {
	overdue, lowest := 0, 0.0
	for p := range s.running {
		ratio := now.Sub(p.sent).Seconds() / max(p.ExpectedLatency.Seconds(), minServiceTime)
		if ratio < stragglerRatio {
			continue
		}
		if overdue == 0 || ratio < lowest {
			lowest = ratio
		}
		overdue++
	}
	if overdue < 2 || 2*overdue < len(s.running) {
		return 1
	}
	return min(lowest, slownessMax)
}

// applyReport applies the server's own report of its load, which includes the requests of this entry VM.
func (s *Server) applyReport(l Load, now time.Time) {
	s.othersLoad = max(0, float64(l.Running+l.Waiting-len(s.running)))
	s.othersLoadMean += (s.othersLoad - s.othersLoadMean) * othersWeight
	s.slowness = min(max(l.Slowness, slownessMin), slownessMax)
	s.reportedAt = now
}

// factorAt returns the server's own factor at now: without samples it moves back to 1, so that a server which was slow
// once is tried again.
func (s *Server) factorAt(now time.Time) float64 {
	return 1 + (s.factor-1)*math.Exp2(-now.Sub(s.factorUpdated).Seconds()/factorHalfLife.Seconds())
}

// updateFactor adds the time that a request took, relative to the expected time, to the server's factor.
func (s *Server) updateFactor(took, expected float64, now time.Time) {
	factor := s.factorAt(now)
	sample := min(took/expected, ratioMax) * factor
	s.factor = min(max(factor+(sample-factor)*factorWeight, factorMin), factorMax)
	s.factorUpdated = now
}
