package demo

import (
	"sync"
	"time"
)

// wire is one direction of a link: it serialises bytes at its rate and keeps the peak use.
type wire struct {
	bytesPerS float64
	delay     time.Duration // one way

	mu      sync.Mutex
	freeAt  time.Time
	window  time.Time // begin of the current second
	sent    int64     // bytes in the window
	peakMax int64     // bytes a second
}

// take books n bytes and returns when the last of them has left the wire.
func (w *wire) take(bytes int, now time.Time) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.freeAt.Before(now) {
		w.freeAt = now
	}
	w.freeAt = w.freeAt.Add(time.Duration(float64(bytes) / w.bytesPerS * float64(time.Second)))
	if now.Sub(w.window) >= time.Second {
		w.window = now
		w.sent = 0
	}
	w.sent += int64(bytes)
	w.peakMax = max(w.peakMax, w.sent)
	return w.freeAt
}

// peakMbit returns the highest use in a second, in Mbit/s.
func (w *wire) peakMbit() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return float64(w.peakMax) * 8 / bitsPerMbit
}
