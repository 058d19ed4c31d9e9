// Package zone elects the leader of an availability zone and maintains the zone's record: which VMs may take over the
// zone, and which VM holds which part of the floor. In regular operation only the leader calls the store, so the number
// of store calls grows with the number of zones and not with the number of VMs.
package zone

import (
	"encoding/json"
	"slices"

	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// leaderKey returns the key that is deleted when the leader's lease expires.
func leaderKey(zone steering.ZoneName) string { return "zones/" + string(zone) + "/leader" }

// recordKey returns the key of a zone's Record; it is attached to no lease.
func recordKey(zone steering.ZoneName) string { return "zones/" + string(zone) + "/record" }

// claim is the value of leaderKey.
type claim struct {
	VM          vm.Name        `json:"vm"`
	Incarnation vm.Incarnation `json:"incarnation"`
	Epoch       uint64         `json:"epoch"`
}

// Record is the state of a zone that outlives a leader. The leader writes it; another member of the zone writes it only
// to confirm its own part.
type Record struct {
	Leader     vm.Name     `json:"leader"`
	Epoch      uint64      `json:"epoch"`
	Successors []vm.Name   `json:"successors"` // VMs that may take over the zone; sorted
	Parts      []FloorPart `json:"parts"`      // of the floor; their sum is at most 1
}

// FloorPart is the part of a zone's floor that one VM holds without any lease.
type FloorPart struct {
	VM          vm.Name        `json:"vm"`
	Incarnation vm.Incarnation `json:"incarnation"` // incarnation that confirmed the part; 0: none yet
	Part        float64        `json:"part"`        // 0 to 1
	// Confirmations counts the confirmations of this incarnation after the first; see Elector.FloorUntil.
	Confirmations uint64 `json:"confirmations,omitempty"`
}

// sameConfirmation reports whether p and q carry the same confirmation.
func (p FloorPart) sameConfirmation(q FloorPart) bool {
	return p.Incarnation == q.Incarnation && p.Confirmations == q.Confirmations
}

func (r *Record) part(name vm.Name) FloorPart {
	for _, p := range r.Parts {
		if p.VM == name {
			return p
		}
	}
	return FloorPart{VM: name}
}

// sum returns the fraction of the floor that belongs to any VM.
func (r *Record) sum() float64 {
	sum := 0.0
	for _, p := range r.Parts {
		sum += p.Part
	}
	return sum
}

// confirm records that this incarnation of a VM uses its part. If again is true, the result differs from the last
// confirmation.
func (r *Record) confirm(name vm.Name, incarnation vm.Incarnation, again bool) {
	for i := range r.Parts {
		if r.Parts[i].VM != name {
			continue
		}
		r.Parts[i].Incarnation = incarnation
		if again {
			r.Parts[i].Confirmations++
		}
	}
}

// add adds part to the part of a VM; a part of 0 is removed.
func (r *Record) add(name vm.Name, part float64) {
	i := slices.IndexFunc(r.Parts, func(p FloorPart) bool { return p.VM == name })
	if i < 0 {
		r.Parts = append(r.Parts, FloorPart{VM: name})
		i = len(r.Parts) - 1
	}
	r.Parts[i].Part += part
	if r.Parts[i].Part <= 0 {
		r.Parts = slices.Delete(r.Parts, i, i+1)
	}
}

func (r *Record) clone() Record {
	out := *r
	out.Successors = slices.Clone(r.Successors)
	out.Parts = slices.Clone(r.Parts)
	return out
}

func (r *Record) equal(o *Record) bool {
	return r.Leader == o.Leader && r.Epoch == o.Epoch &&
		slices.Equal(r.Successors, o.Successors) && slices.Equal(r.Parts, o.Parts)
}

// DecodeError reports a stored value that can't be decoded as the type that its key requires.
type DecodeError struct {
	Key   string
	Cause error
}

// Error implements error.
func (e *DecodeError) Error() string { return "decode value of " + e.Key + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }

func decode(key string, value []byte, into any) error {
	if err := json.Unmarshal(value, into); err != nil {
		return &DecodeError{Key: key, Cause: err}
	}
	return nil
}
