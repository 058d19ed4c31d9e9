package request

import (
	"sync"
	"time"

	"github.com/azureflow/azureflow/internal/vm"
)

const (
	silenceWindow   = time.Second // in which suspicions count together
	silenceServers  = 2           // suspected servers at which the network is the likelier cause
	silenceInterval = time.Second // least time between two closings of the idle connections
)

// silences watches for connections that went silent together, as when something between the ends lost
// track of them: requests to several servers get no byte on reused connections while new connections
// answer. Then the idle connections are closed, so that no further request meets a silent one.
type silences struct {
	idle interface{ CloseIdleConnections() } // nil: the transport cannot

	mu        sync.Mutex
	suspected map[vm.Name]time.Time
	closed    time.Time
}

// suspect notes that a reused connection to server brought nothing while a new connection answered.
func (s *silences) suspect(server vm.Name, now time.Time) {
	if s.idle == nil || !s.confirm(server, now) {
		return
	}
	s.idle.CloseIdleConnections()
}

// active reports whether connections went silent together a short while ago.
func (s *silences) active(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.closed.IsZero() && now.Sub(s.closed) < silenceWindow
}

// confirm reports whether the idle connections should be closed.
func (s *silences) confirm(server vm.Name, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.suspected == nil {
		s.suspected = make(map[vm.Name]time.Time)
	}
	s.suspected[server] = now
	for name, at := range s.suspected {
		if now.Sub(at) > silenceWindow {
			delete(s.suspected, name)
		}
	}
	if len(s.suspected) < silenceServers || now.Sub(s.closed) < silenceInterval {
		return false
	}
	s.closed = now
	return true
}
