package admin

import (
	"slices"
	"testing"
	"time"

	"github.com/azureflow/azureflow/internal/steering"
)

func TestCauses(t *testing.T) {
	since := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	cases := []struct {
		name   string
		status RevisionStatus
		want   []string
	}{
		{"no faults", RevisionStatus{InForce: 3}, nil},
		{"store down", RevisionStatus{StoreFailing: &StoreFailing{Since: since, Error: "refused"}},
			[]string{"the store does not answer since 2026-12-04T09:00:00Z: refused"}},
		{"store restored", RevisionStatus{StoreBehind: &steering.StoreBehind{Head: 2, Since: since}},
			[]string{"the store's head is revision 2 since 2026-12-04T09:00:00Z"}},
		{"unreadable", RevisionStatus{Unreadable: &steering.UnreadableRevision{Revision: 4, Reason: "field", Since: since}},
			[]string{"revision 4 cannot be read since 2026-12-04T09:00:00Z: field"}},
	}
	for _, c := range cases {
		if got := c.status.Causes(); !slices.Equal(got, c.want) {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}
