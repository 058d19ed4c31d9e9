package entry

import (
	"testing"
	"time"

	"github.com/azureflow/azureflow/internal/admin"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

func TestLagsSinceWhen(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	l := newLags()
	steps := []struct {
		name      string
		at        int
		own, a, b steering.Revision
		lagging   []admin.RevisionLag
	}{
		{"all the same", 0, 5, 5, 5, nil},
		{"a peer has a higher one", 10, 5, 6, 5, []admin.RevisionLag{{VM: "b", Revision: 5, Since: at(10)}, {VM: "self", Revision: 5, Since: at(10)}}},
		{"this VM follows", 12, 6, 6, 5, []admin.RevisionLag{{VM: "b", Revision: 5, Since: at(10)}}},
		{"a still higher one", 20, 7, 6, 5, []admin.RevisionLag{{VM: "a", Revision: 6, Since: at(20)}, {VM: "b", Revision: 5, Since: at(10)}}},
		{"the peer that had it is forgotten", 30, 7, 7, 7, nil},
		{"a VM restarts without any", 40, 7, 7, 0, []admin.RevisionLag{{VM: "b", Revision: 0, Since: at(40)}}},
	}
	for _, s := range steps {
		view := &vm.View{Entries: []*vm.Entry{
			{VM: vm.VM{Name: "a"}, Revision: s.a}, {VM: vm.VM{Name: "b"}, Revision: s.b}, {VM: vm.VM{Name: "self"}},
		}}
		l.observe(view, "self", s.own, at(s.at))
		_, got := l.known()
		if len(got) != len(s.lagging) {
			t.Fatalf("%s: %+v, want %+v", s.name, got, s.lagging)
		}
		for i := range got {
			if got[i] != s.lagging[i] {
				t.Errorf("%s: %+v, want %+v", s.name, got[i], s.lagging[i])
			}
		}
	}
}
