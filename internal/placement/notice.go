package placement

import "time"

const (
	// maxBackoff bounds the pause that a server can ask for: with a longer one, a faulty server would stay excluded
	// long after its registry entry says that it is ready.
	maxBackoff = 5 * time.Minute
	// maxNotices is the number of servers whose notices are kept; above it the expired ones are removed.
	maxNotices = 4096
	// noticeLifetime is how long the notice of a server that is not listed any more is kept. Entries that are missing
	// for a while return within seconds.
	noticeLifetime = 10 * time.Minute
)

// notice is what a server said about itself in responses. It outlives the server's entry in the registry, which may
// disappear and return while the server runs, and ends with the incarnation of the server.
type notice struct {
	born         time.Time // start of the incarnation
	isLeaving    bool
	backoffUntil time.Time // the server asked for no requests until then
	updated      time.Time
}

// admits reports whether the server accepts requests at now by its own notice, which may be nil.
func (n *notice) admits(now time.Time) bool {
	return n == nil || !n.isLeaving && !now.Before(n.backoffUntil)
}

// recordNotice records what the response with result r says about the server. It returns whether the server started to
// leave, and the pause that it asked for.
func (c *Chooser) recordNotice(s *Server, r *Result, now time.Time) (startedLeaving bool, backoff time.Duration) {
	if !r.Leaving && r.Backoff <= 0 {
		return false, 0
	}
	n := c.noticeOf(s, now)
	n.updated = now
	startedLeaving = r.Leaving && !n.isLeaving
	n.isLeaving = n.isLeaving || r.Leaving
	if r.Backoff > 0 {
		backoff = min(r.Backoff, maxBackoff)
		if until := now.Add(backoff); until.After(n.backoffUntil) {
			n.backoffUntil = until
		}
	}
	return startedLeaving, backoff
}

// noticeOf returns the notice of the incarnation of s, a new one if there is none.
func (c *Chooser) noticeOf(s *Server, now time.Time) *notice {
	n := c.notices[s.member.ID]
	switch {
	case n != nil && n.born.Equal(s.member.Born):
	case n != nil && n.born.After(s.member.Born):
		return &notice{born: s.member.Born} // an earlier incarnation responded late
	default:
		n = &notice{born: s.member.Born, updated: now}
		c.notices[s.member.ID] = n
		c.pruneNotices(now)
	}
	s.notice = n
	if current := c.servers[s.member.ID]; current != nil && current.member.Born.Equal(n.born) {
		current.notice = n
	}
	return n
}

// attachNotice gives s the notice of its incarnation, if there is one.
func (c *Chooser) attachNotice(s *Server) {
	s.notice = c.notices[s.member.ID]
	if s.notice != nil && !s.notice.born.Equal(s.member.Born) {
		s.notice = nil
	}
}

// pruneNotices removes the notices of servers that are not listed any more once there are too many.
func (c *Chooser) pruneNotices(now time.Time) {
	if len(c.notices) <= maxNotices {
		return
	}
	for id, n := range c.notices {
		if c.servers[id] == nil && now.Sub(n.updated) > noticeLifetime {
			delete(c.notices, id)
		}
	}
}

// shortestBackoff returns how long it takes until the first server that may run the request accepts requests again, 0
// if no server asked for a pause.
func (c *Chooser) shortestBackoff(q *Query, now time.Time) time.Duration {
	var shortest time.Duration
	for _, s := range c.services[q.Service] {
		n := s.notice
		if n == nil || n.isLeaving || !c.isListedFor(s, q) {
			continue
		}
		if left := n.backoffUntil.Sub(now); left > 0 && (shortest == 0 || left < shortest) {
			shortest = left
		}
	}
	return shortest
}
