package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"runtime"
	"strings"
	"testing"
)

// Writes do not block while the reader has stopped reading, and the dropped lines are reported.
func TestAsyncWriterNeverWaits(t *testing.T) {
	reader, writer := io.Pipe()
	w := NewAsyncWriter(writer, 4)
	for i := range 100 {
		if n, err := fmt.Fprintf(w, "line %d\n", i); n == 0 || err != nil {
			t.Fatalf("wrote %d, error %v", n, err)
		}
	}
	var got bytes.Buffer
	copyDone := make(chan struct{})
	go func() {
		defer close(copyDone)
		_, _ = io.Copy(&got, reader)
	}()
	// Once the reader reads again, lines are buffered again; the first of them reports how many were dropped.
	for !writeIfHasCapacity(w, "last\n") {
		runtime.Gosched()
	}
	<-w.Close()
	_ = writer.Close()
	<-copyDone
	text := got.String()
	if !strings.Contains(text, "line 0\n") || !strings.Contains(text, "log lines dropped") || !strings.Contains(text, "last\n") {
		t.Errorf("output lacks the first line, the count of dropped lines or the last line:\n%s", text)
	}
	if _, err := w.Write([]byte("late")); err != nil {
		t.Errorf("write after Close: %v", err)
	}
}

// writeIfHasCapacity writes a line if the buffer has free capacity and reports whether it did.
func writeIfHasCapacity(w *AsyncWriter, line string) bool {
	if len(w.lines) == cap(w.lines) {
		return false
	}
	_, _ = w.Write([]byte(line))
	return true
}
