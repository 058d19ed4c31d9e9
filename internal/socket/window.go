package socket

import "time"

// Figures are what the kernel knows of the sending side of a connection.
type Figures struct {
	Unacked    uint32        // segments in flight
	NotSent    uint32        // bytes that wait to be sent
	Window     uint32        // bytes that the peer takes; 0 also if the system does not tell it
	Probes     uint8         // probes of a closed window without an acknowledgement so far
	SinceSent  time.Duration // since data were last sent; probes without data do not count
	SinceHeard time.Duration // since the last acknowledgement of the peer
}

// isOutstanding reports whether bytes wait to be sent or acknowledged.
func (f *Figures) isOutstanding() bool { return f.Unacked > 0 || f.NotSent > 0 }

// isClosed reports whether the peer takes no bytes although all that it took are acknowledged, or says so.
func (f *Figures) isClosed() bool {
	return f.NotSent > 0 && f.Unacked == 0 || f.Window == 0 && f.isOutstanding()
}

// isUnanswered reports whether a probe of a closed window has no acknowledgement yet. Segments in flight at a closed
// window are sent again as probes.
func (f *Figures) isUnanswered() bool {
	return f.Probes > 0 || f.Unacked > 0 && f.SinceHeard > f.SinceSent
}

// action is what is to be done with a connection.
type action uint8

const (
	keep    action = iota // nothing
	lift                  // let the kernel wait for the window
	restore               // let the kernel close the connection when it is silent
	end                   // close the connection, its peer is gone
)

// window follows the window of a peer. While it is open or not known, the kernel's own limit holds; a closed window says
// that the peer lives and does not read, until probes stay unanswered.
type window struct {
	lifted          bool
	unansweredSince time.Time // zero: the last probe was answered
}

// next returns what is to be done at now. A connection whose probes stay unanswered for silentAfter is to be closed.
func (w *window) next(f *Figures, now time.Time, silentAfter time.Duration) action {
	if !f.isClosed() {
		w.unansweredSince = time.Time{}
		if w.lifted {
			w.lifted = false
			return restore
		}
		return keep
	}
	switch {
	case !f.isUnanswered():
		w.unansweredSince = time.Time{}
	case w.unansweredSince.IsZero():
		w.unansweredSince = now
	case now.Sub(w.unansweredSince) >= silentAfter && f.SinceHeard >= silentAfter:
		return end
	}
	if !w.lifted {
		w.lifted = true
		return lift
	}
	return keep
}
