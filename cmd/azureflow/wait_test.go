package main

import (
	"testing"
	"time"

	"github.com/azureflow/azureflow/internal/admin"
)

func TestLagOfNamesSinceWhenAndWhy(t *testing.T) {
	since := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	lag := lagOf("entry-1", &admin.RevisionStatus{
		InForce: 4, Since: since, StoreFailing: &admin.StoreFailing{Since: since.Add(time.Minute), Error: "refused"},
	})
	const want = "revision 4 is in force since 2026-12-04T09:00:00Z; the store does not answer since 2026-12-04T09:01:00Z: refused"
	if lag.Reason != want || lag.Since == nil || !lag.Since.Equal(since) {
		t.Errorf("%+v, want %s", lag, want)
	}
	if lag := lagOf("entry-1", &admin.RevisionStatus{}); lag.Reason != "no revision is in force" || lag.Since != nil {
		t.Errorf("%+v", lag)
	}
}
