package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/azureflow/azureflow/internal/upstream"
)

// TestContactEndsWithAGap: a zone's upstreams count as reached since the first answer after the last gap.
func TestContactEndsWithAGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const zone = "muscat-a"
		c := newContacts(upstream.Source(nil))
		if !c.since(zone).IsZero() {
			t.Fatal("contact before any answer")
		}
		first := time.Now()
		for range 5 {
			c.note(zone, time.Now())
			time.Sleep(contactGap - time.Millisecond)
		}
		c.note(zone, time.Now().Add(-time.Minute)) // an answer that comes late
		if got := c.since(zone); !got.Equal(first) {
			t.Errorf("contact since %v, want %v", got, first)
		}
		time.Sleep(2 * time.Millisecond)
		if !c.since(zone).IsZero() {
			t.Error("contact without an answer for longer than the gap")
		}
		again := time.Now()
		c.note(zone, again)
		if got := c.since(zone); !got.Equal(again) {
			t.Errorf("contact since %v, want %v", got, again)
		}
	})
}
