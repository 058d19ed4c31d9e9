package admin

import (
	"fmt"
	"time"

	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// RevisionStatus is the revision in force on this VM, and what this VM knows of the others.
type RevisionStatus struct {
	InForce     steering.Revision `json:"in_force"` // on this VM
	Since       time.Time         `json:"since"`
	Source      steering.Source   `json:"source,omitempty"` // where it came from
	PublishedAt time.Time         `json:"published_at"`
	Highest     steering.Revision `json:"highest"` // that this VM knows of
	Lagging     []RevisionLag     `json:"lagging"` // entry VMs below Highest
	Alarms      []Alarm           `json:"alarms"`

	// Possible causes of a lag of this VM; nil if they do not apply.
	StoreFailing *StoreFailing                `json:"store_failing,omitempty"`
	StoreBehind  *steering.StoreBehind        `json:"store_behind,omitempty"`
	Unreadable   *steering.UnreadableRevision `json:"unreadable,omitempty"`
}

// StoreFailing reports since when the store has not responded to this VM.
type StoreFailing struct {
	Since time.Time `json:"since"`
	Error string    `json:"error"`
}

// RevisionLag is an entry VM on which the highest revision is not in force.
type RevisionLag struct {
	VM       vm.Name           `json:"vm"`
	Revision steering.Revision `json:"revision"`
	Since    time.Time         `json:"since"` // when this VM first learned of a higher one
}

// Causes returns the possible causes of a lag of the VM, one line each.
func (s *RevisionStatus) Causes() []string {
	var causes []string
	if f := s.StoreFailing; f != nil {
		causes = append(causes, fmt.Sprintf("the store does not answer since %s: %s", formatTime(f.Since), f.Error))
	}
	if b := s.StoreBehind; b != nil {
		causes = append(causes, fmt.Sprintf("the store's head is revision %d since %s", b.Head, formatTime(b.Since)))
	}
	if u := s.Unreadable; u != nil {
		causes = append(causes, fmt.Sprintf("revision %d cannot be read since %s: %s", u.Revision, formatTime(u.Since), u.Reason))
	}
	return causes
}

func formatTime(t time.Time) string { return t.UTC().Format(time.RFC3339) }
