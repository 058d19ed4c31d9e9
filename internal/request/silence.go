package request

import (
	"sync"
	"time"

	"github.com/azureflow/azureflow/internal/vm"
)

const (
	suspicionWindow     = time.Second // in which suspicions of several servers are counted together
	minSuspectedServers = 2           // number of suspected servers from which the network is the more likely cause
	minCloseInterval    = time.Second // minimum time between two closings of the idle connections
)

// unresponsiveDetector detects connections that became unresponsive together, as when a device on the network path
// lost their state: requests to several servers receive no byte on reused connections while new connections get
// responses. It then closes the idle connections, so that no further request is sent on an unresponsive one.
type unresponsiveDetector struct {
	idleCloser interface{ CloseIdleConnections() } // nil if the transport cannot close idle connections

	mu         sync.Mutex
	suspected  map[vm.Name]time.Time
	lastClosed time.Time
}

// recordSuspect records that a reused connection to server received nothing while a new connection got a response.
func (s *unresponsiveDetector) recordSuspect(server vm.Name, now time.Time) {
	if s.idleCloser == nil || !s.shouldCloseIdle(server, now) {
		return
	}
	s.idleCloser.CloseIdleConnections()
}

// recentlyClosed reports whether connections became unresponsive together within the last suspicionWindow.
func (s *unresponsiveDetector) recentlyClosed(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lastClosed.IsZero() && now.Sub(s.lastClosed) < suspicionWindow
}

// shouldCloseIdle records the suspicion and reports whether the idle connections should be closed.
func (s *unresponsiveDetector) shouldCloseIdle(server vm.Name, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.suspected == nil {
		s.suspected = make(map[vm.Name]time.Time)
	}
	s.suspected[server] = now
	for name, at := range s.suspected {
		if now.Sub(at) > suspicionWindow {
			delete(s.suspected, name)
		}
	}
	if len(s.suspected) < minSuspectedServers || now.Sub(s.lastClosed) < minCloseInterval {
		return false
	}
	s.lastClosed = now
	return true
}
