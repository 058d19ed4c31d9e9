package standin

import (
	"sync"
	"sync/atomic"
	"time"
)

// SilentMode says which part of an exchange a silent connection loses.
type SilentMode string

// The modes of silence.
const (
	SilentNone    SilentMode = ""
	SilentRequest SilentMode = "request" // the request is lost and never runs
	SilentAnswer  SilentMode = "answer"  // the request runs and its answer is lost
)

// UpstreamFaults are the faults that can be switched on, over HTTP or by SetFaults. The zero value
// is a server without faults.
type UpstreamFaults struct {
	// Share of the requests that the faults below hit, 0 to 1; 0 counts as 1.
	Share float64 `json:"share,omitempty"`
	// ForMs is how long the faults stay in force, milliseconds; 0: until replaced.
	ForMs int64 `json:"for_ms,omitempty"`
	// SlowFactor multiplies the service time.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// Silent makes the connections that are open when the fault is set lose requests or answers
	// for good, while new connections work. Share and ForMs do not apply.
	Silent SilentMode `json:"silent,omitempty"`
	// SilentNew makes new connections silent too.
	SilentNew bool `json:"silent_new,omitempty"`
	// Shed refuses each request without running it.
	Shed bool `json:"shed,omitempty"`
	// Reset breaks the connection in the middle of the answer by a TCP reset.
	Reset bool `json:"reset,omitempty"`
	// CutOff ends the connection in the middle of the answer.
	CutOff bool `json:"cut_off,omitempty"`
	// Crossed sends the previous request's answer with its attempt id.
	Crossed bool `json:"crossed,omitempty"`
	// LateMs delays a finished run's answer, milliseconds.
	LateMs int64 `json:"late_ms,omitempty"`
	// Informational is a 1xx status that is sent before the answer, for example 103.
	Informational int `json:"informational,omitempty"`
	// Health is what the health endpoint says whatever the truth: "ok" or "draining".
	Health string `json:"health,omitempty"`
	// ReportInFlight is what load reports say of the requests in flight, whatever the truth.
	ReportInFlight *int `json:"report_in_flight,omitempty"`
}

// faultState holds the faults in force. Readers see an immutable snapshot.
type faultState struct {
	current atomic.Pointer[faultSnapshot]
}

type faultSnapshot struct {
	faults UpstreamFaults
	until  time.Time           // zero: no end
	silent map[string]struct{} // remote addresses
}

func (s *faultState) set(f UpstreamFaults, open map[string]struct{}, now time.Time) {
	next := &faultSnapshot{faults: f}
	if f.ForMs > 0 {
		next.until = now.Add(time.Duration(f.ForMs) * time.Millisecond)
	}
	if f.Silent != SilentNone {
		next.silent = open
	}
	s.current.Store(next)
}

func (s *faultState) get() UpstreamFaults {
	if p := s.current.Load(); p != nil {
		return p.faults
	}
	return UpstreamFaults{}
}

// pick returns the faults that hit one request from remote; draw is a random number in [0, 1).
func (s *faultState) pick(remote string, draw float64, now time.Time) UpstreamFaults {
	p := s.current.Load()
	if p == nil {
		return UpstreamFaults{}
	}
	f := p.faults
	_, silent := p.silent[remote]
	if f.Silent != SilentNone && (silent || f.SilentNew) {
		return f
	}
	f.Silent = SilentNone
	over := !p.until.IsZero() && now.After(p.until)
	if over || (f.Share > 0 && draw >= f.Share) {
		return UpstreamFaults{}
	}
	return f
}

// connTable knows the remote addresses of the connections that were used lately.
type connTable struct {
	mu   sync.Mutex
	seen map[string]time.Time
}

// connMemory is how long a connection is remembered after its last request.
const connMemory = 10 * time.Minute

func (t *connTable) touch(remote string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seen[remote] = now
}

func (t *connTable) open() map[string]struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	open := make(map[string]struct{}, len(t.seen))
	for remote, at := range t.seen {
		if time.Since(at) > connMemory {
			delete(t.seen, remote)
			continue
		}
		open[remote] = struct{}{}
	}
	return open
}
