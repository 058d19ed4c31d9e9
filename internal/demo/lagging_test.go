package demo

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azureflow/azureflow/internal/admin"
)

// TestStatusNamesWhoLags: a zone is cut off while a revision is published.
func TestStatusNamesWhoLags(t *testing.T) {
	t.Parallel()
	tree := variantTree(t)
	synctest.Test(t, func(t *testing.T) {
		w := startVirtual(t, "sohar")
		time.Sleep(10*time.Second + 7*time.Millisecond)
		w.network.setCut(w.lastZone(), true)
		time.Sleep(10 * time.Second)
		published := time.Now()
		if _, err := w.publishTree(context.Background(), tree); err != nil {
			t.Error(err)
		}
		time.Sleep(10 * time.Second)
		const inForce = 5 * time.Second // within which a revision is in force on all that can be reached
		status := w.revisionStatus(t)
		if len(status.Lagging) != 1 || status.Lagging[0].VM != "entry-6" || status.Lagging[0].Revision != status.InForce-1 {
			t.Errorf("lagging %+v, want entry-6", status.Lagging)
		} else if after := status.Lagging[0].Since.Sub(published); after < 0 || after > inForce {
			t.Errorf("lags since %v after the publication", after)
		}
		w.network.setCut(w.lastZone(), false)
		time.Sleep(30 * time.Second)
		if status := w.revisionStatus(t); len(status.Lagging) != 0 || len(status.Causes()) != 0 {
			t.Errorf("after the cut healed: %+v", status)
		}
		w.stop()
		time.Sleep(time.Minute)
	})
}

// revisionStatus reads the first entry VM's page.
func (w *world) revisionStatus(t *testing.T) (status admin.RevisionStatus) {
	t.Helper()
	operator := w.operator()
	defer operator.CloseIdleConnections()
	if err := w.entries[0].get(context.Background(), operator, "/v1/revision", &status); err != nil {
		t.Error(err)
	}
	return status
}
