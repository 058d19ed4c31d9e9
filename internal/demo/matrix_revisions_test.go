package demo

import (
	"fmt"
	"time"

	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// inForceWithin is the users' bound on the time from acceptance to force everywhere.
const inForceWithin = 5 * time.Second

// publication is a revision that the store accepted.
type publication struct {
	revision steering.Revision
	at       time.Time
}

// revisionWatch follows the revisions in force on every entry VM.
type revisionWatch struct {
	of       func(e *entryVM) steering.Revision // in force now
	highest  map[vm.Name]steering.Revision
	raised   map[vm.Name][]publication // when a look first saw each
	reverted []string
}

func newRevisionWatch() *revisionWatch {
	return &revisionWatch{
		of:      func(e *entryVM) steering.Revision { return e.daemon.Revision() },
		highest: make(map[vm.Name]steering.Revision), raised: make(map[vm.Name][]publication),
	}
}

func (w *revisionWatch) look(e *entryVM) {
	name, now := e.row.Name, w.of(e)
	was := w.highest[name]
	if now == was {
		return
	}
	if now < was {
		w.reverted = append(w.reverted, fmt.Sprintf("%s went back from revision %d to %d", name, was, now))
	}
	w.highest[name] = now
	w.raised[name] = append(w.raised[name], publication{now, time.Now()})
}

// late returns whether a publication was not in force on a VM in time. The time counts from its acceptance
// or from calm, the end of what was broken, whichever came later.
func (w *revisionWatch) late(name vm.Name, p publication, calm time.Time) []string {
	from := p.at
	if calm.After(from) {
		from = calm
	}
	for _, r := range w.raised[name] {
		if r.revision >= p.revision {
			took := r.at.Sub(from)
			return found(took > inForceWithin+watchInterval, "revision %d in force on %s after %v", p.revision, name, took)
		}
	}
	return found(true, "revision %d is not in force on %s", p.revision, name)
}
