package socket

import (
	"testing"
	"time"
)

const testSilentAfter = time.Second

// play passes the figures to a window, one each 200 ms, and returns the actions other than keep by their index.
func play(figures []Figures) map[int]action {
	var w window
	start := time.Unix(0, 0)
	done := make(map[int]action)
	for i := range figures {
		if a := w.next(&figures[i], start.Add(time.Duration(i)*200*time.Millisecond), testSilentAfter); a != keep {
			done[i] = a
		}
	}
	return done
}

// repeat returns the figures of n looks in which nothing is heard of the peer.
func repeat(f Figures, n int) []Figures {
	var all []Figures
	for range n {
		all = append(all, f)
		f.SinceHeard += 200 * time.Millisecond
	}
	return all
}

// TestNetworkGoneWithAnOpenWindow: bytes in flight stay unacknowledged. The kernel's limit of a second is never lifted,
// so that it closes the connection as before.
func TestNetworkGoneWithAnOpenWindow(t *testing.T) {
	for _, f := range []Figures{
		{Unacked: 1, Window: 64 << 10},
		{Unacked: 10, NotSent: 1 << 20, Window: 14 << 10},
		{}, // nothing is outstanding
	} {
		if got := play(repeat(f, 60)); len(got) != 0 {
			t.Errorf("%+v: %v, want that nothing is done", f, got)
		}
	}
}

// TestClosedWindowIsWaitedFor: probes are acknowledged, for minutes; the limit holds again once the window opens.
func TestClosedWindowIsWaitedFor(t *testing.T) {
	for _, f := range []Figures{
		{NotSent: 1 << 20, Window: 100}, // less than a segment
		{NotSent: 1 << 20},
		{Unacked: 2, NotSent: 1 << 20, SinceSent: time.Minute}, // the peer dropped what was in flight
	} {
		var figures []Figures
		for i := range 1000 { // each fifth look finds a probe on its way
			heard := f
			if i%5 == 4 {
				heard.Probes = 1
			}
			figures = append(figures, heard)
		}
		figures = append(figures, Figures{Unacked: 3, Window: 64 << 10})
		if got := play(figures); len(got) != 2 || got[0] != lift || got[1000] != restore {
			t.Errorf("%+v: %v, want the limit lifted at once and restored at the end", f, got)
		}
	}
}

// TestNetworkGoneWithAClosedWindow: a connection whose probes stay unanswered is closed a second after the first look
// that found one so.
func TestNetworkGoneWithAClosedWindow(t *testing.T) {
	for _, gone := range []Figures{
		{NotSent: 1 << 20, Probes: 1, Window: 100},
		{NotSent: 1 << 20, Probes: 1},
		{Unacked: 2, SinceSent: 0, SinceHeard: 200 * time.Millisecond},
	} {
		alive := gone
		alive.Probes, alive.SinceHeard, alive.SinceSent = 0, 0, time.Millisecond
		got := play(append(repeat(alive, 1), repeat(gone, 6)...))
		if len(got) != 2 || got[0] != lift || got[6] != end {
			t.Errorf("%+v: %v, want the limit lifted, then the end 1 s after the first unanswered probe", gone, got)
		}
	}
}

// TestProbesAnsweredBetweenLooks: two looks in a row may each find another probe on its way. The peer was heard of.
func TestProbesAnsweredBetweenLooks(t *testing.T) {
	if got := play(repeat(Figures{NotSent: 1, Probes: 1}, 4)); len(got) != 1 {
		t.Errorf("%v, want the limit lifted alone", got)
	}
	figures := make([]Figures, 100)
	for i := range figures {
		figures[i] = Figures{NotSent: 1, Probes: 1, SinceHeard: 900 * time.Millisecond}
	}
	if got := play(figures); len(got) != 1 {
		t.Errorf("%v, want the limit lifted alone", got)
	}
}

// TestSystemThatTellsNoWindow: a simulated socket counts segments in flight and leaves the window 0. That passed for a
// closed window, and the kernel's limit was lifted on connections whose network was gone.
func TestSystemThatTellsNoWindow(t *testing.T) {
	w := NewWatch(testSilentAfter)
	if w.canWatch(&Figures{}) || w.canWatch(&Figures{Unacked: 1}) {
		t.Error("connections are watched although no window was told")
	}
	if !w.canWatch(&Figures{Window: 1}) || !w.canWatch(&Figures{}) {
		t.Error("connections are not watched although windows are told")
	}
}
