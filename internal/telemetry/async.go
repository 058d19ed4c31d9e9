package telemetry

import (
	"fmt"
	"io"
	"sync"
)

// AsyncWriter forwards writes to another writer from its own goroutine, so that logging never blocks on a reader that
// has stopped reading. Writes that do not fit into the buffer are dropped and counted.
type AsyncWriter struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}

	mu      sync.Mutex
	closed  bool
	dropped int // lines dropped since the last line that was buffered
}

// NewAsyncWriter returns an AsyncWriter that buffers up to lines writes for out.
func NewAsyncWriter(out io.Writer, lines int) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, lines), done: make(chan struct{})}
	go w.run()
	return w
}

func (w *AsyncWriter) run() {
	defer close(w.done)
	for line := range w.lines {
		// A failed write of a log line cannot be reported anywhere else.
		_, _ = w.out.Write(line)
	}
}

// Write implements io.Writer. It never blocks and always reports that all of p was written.
func (w *AsyncWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return len(p), nil
	}
	line := append([]byte(nil), p...)
	if w.dropped > 0 {
		line = append(fmt.Appendf(nil, "level=warning event=\"log lines dropped\" lines=%d\n", w.dropped), line...)
	}
	select {
	case w.lines <- line:
		w.dropped = 0
	default:
		w.dropped++
	}
	return len(p), nil
}

// Close stops accepting lines. The returned channel is closed once all buffered lines are written.
func (w *AsyncWriter) Close() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	return w.done
}
