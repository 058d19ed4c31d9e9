package placement

import (
	"math"
	"time"
)

// Constants of what is believed about a server.
const (
	warmCapacity   = 45                     // objects that a server is taken to remember
	reportFresh    = 300 * time.Millisecond // a report counts in full for this long
	reportStale    = 1500 * time.Millisecond
	othersHalf     = time.Second // in which an old mean loses half of its weight
	factorWeight   = 0.15        // of a new sample of a server's slowness
	othersWeight   = 0.1         // of a new sample of the load that others put on a server
	slownessMax    = 20.0
	slownessMin    = 0.3
	factorMax      = 12.0 // of the slowest servers that the users' days know
	factorMin      = 0.5
	factorHalf     = 2 * time.Second        // in which a server's factor goes half of the way back to 1
	ratioMax       = 4.0                    // of one sample: a single long request says little
	slownessKeep   = 600 * time.Millisecond // the machine's slowness changes about this often
	slownessHalf   = 2 * time.Second        // in which what is left of it then halves, as a server's factor does
	rttHalf        = 5 * time.Second        // in which a measured round trip goes half of the way back to the usual one
	stragglerRatio = 2.5                    // in flight for this many times the expected time
)

// Server is what this entry VM knows of one server.
type Server struct {
	member    Member
	running   map[*Placement]struct{} // requests of this entry VM
	warm      *warmObjects
	coldUntil time.Time
	coldRate  tokenBucket
	health    health

	reported   time.Time // when the last report came
	others     float64   // requests of other entry VMs at the server, by the last report
	othersMean float64
	assumed    float64 // the same where no report tells
	slowness   float64 // of its machine, by the last report
	factor     float64 // service time beside that of other servers, what reports do not tell, at learned
	learned    time.Time
	busy       float64 // mean time that a request holds a slot at usual speed, in seconds
	rtt        float64 // seconds, of the connection that was opened fastest lately; 0: not measured
	dialed     time.Time
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

// update takes a newer entry of the registry. A later incarnation under the same id knows nothing of before.
func (s *Server) update(m Member) {
	restarted := m.Born.After(s.member.Born)
	if restarted {
		s.warm.clear()
		s.health = health{}
		s.slowness, s.factor, s.others, s.othersMean = 1, 1, 0, 0
	}
	if m.ColdFor > 0 {
		s.coldUntil = m.Seen.Add(m.ColdFor)
	} else if restarted {
		s.coldUntil = time.Time{}
	}
	s.member = m
}

// cold reports whether the server is still cold at now.
func (s *Server) cold(now time.Time) bool { return now.Before(s.coldUntil) }

// load returns how many requests the server is taken to have at now, from all entry VMs.
func (s *Server) load(now time.Time) float64 {
	return float64(len(s.running)) + s.othersAt(now)
}

// othersAt returns the requests of other entry VMs at the server. A report counts in full while it is fresh,
// then gives way to the mean of the reports before; without any newer report that fades into what is assumed, so that
// a server which was full once is tried again.
func (s *Server) othersAt(now time.Time) float64 {
	if s.reported.IsZero() {
		return s.assumed
	}
	age := now.Sub(s.reported)
	if age <= reportFresh {
		return s.others
	}
	if age < reportStale {
		old := float64(age-reportFresh) / float64(reportStale-reportFresh)
		return s.others*(1-old) + s.othersMean*old
	}
	return s.assumed + (s.othersMean-s.assumed)*math.Exp2(-(age-reportStale).Seconds()/othersHalf.Seconds())
}

// slownessAt returns how slow work is at the server at now, relative to the usual. The machine's part of it
// changes within slownessKeep, so an old report says little.
func (s *Server) slownessAt(now time.Time) float64 {
	machine := s.slowness
	if old := now.Sub(s.reported) - slownessKeep; old > 0 {
		machine = 1 + (machine-1)/3*math.Exp2(-old.Seconds()/slownessHalf.Seconds())
	}
	return machine * s.factorAt(now) * s.straggling(now)
}

// roundTrip returns the expected round trip to the server at now, in seconds like the usual one. A connection that took
// long to open says less and less of others.
func (s *Server) roundTrip(usual float64, now time.Time) float64 {
	switch {
	case s.rtt == 0:
		return usual
	case s.rtt <= usual:
		return s.rtt
	}
	return usual + (s.rtt-usual)*math.Exp2(-now.Sub(s.dialed).Seconds()/rttHalf.Seconds())
}

// straggling returns how far the requests in flight have outlived their expected time, 1 if they have not.
// One long request is no sign: at least two, and half of those in flight, must be overdue.
func (s *Server) straggling(now time.Time) float64 {
	overdue, least := 0, 0.0
	for p := range s.running {
		ratio := now.Sub(p.sent).Seconds() / max(p.ExpectedLatency.Seconds(), minServiceTime)
		if ratio < stragglerRatio {
			continue
		}
		if overdue == 0 || ratio < least {
			least = ratio
		}
		overdue++
	}
	if overdue < 2 || 2*overdue < len(s.running) {
		return 1
	}
	return min(least, slownessMax)
}

// report takes the server's own report of its load, which counts the requests of this entry VM too.
func (s *Server) report(l Load, now time.Time) {
	s.others = max(0, float64(l.Running+l.Waiting-len(s.running)))
	s.othersMean += (s.others - s.othersMean) * othersWeight
	s.slowness = min(max(l.Slowness, slownessMin), slownessMax)
	s.reported = now
}

// factorAt returns the server's own factor at now: without samples it goes back to 1, so that a server which was
// slow once is tried again.
func (s *Server) factorAt(now time.Time) float64 {
	return 1 + (s.factor-1)*math.Exp2(-now.Sub(s.learned).Seconds()/factorHalf.Seconds())
}

// learn takes the time that a request took beside what was expected of it.
func (s *Server) learn(took, expected float64, now time.Time) {
	factor := s.factorAt(now)
	sample := min(took/expected, ratioMax) * factor
	s.factor = min(max(factor+(sample-factor)*factorWeight, factorMin), factorMax)
	s.learned = now
}
