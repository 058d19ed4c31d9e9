// Package zone elects the leader of an availability zone and keeps the zone's record: who may take
// the zone over, and which VM holds which part of the floor. Only the leader talks to the store in
// regular operation, so store calls grow with zones and not with VMs.
package zone

import (
	"encoding/json"
	"slices"

	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// leaderKey is the key that vanishes with the leader's lease.
func leaderKey(zone steering.ZoneName) string { return "zones/" + string(zone) + "/leader" }

// recordKey is the key of a zone's Record; it hangs on no lease.
func recordKey(zone steering.ZoneName) string { return "zones/" + string(zone) + "/record" }

// claim is the value at leaderKey.
type claim struct {
	VM          vm.Name        `json:"vm"`
	Incarnation vm.Incarnation `json:"incarnation"`
	Epoch       uint64         `json:"epoch"`
}

// Record is what outlives a leader. Only a leader writes it.
type Record struct {
	Leader     vm.Name     `json:"leader"`
	Epoch      uint64      `json:"epoch"`
	Successors []vm.Name   `json:"successors"` // VMs that may take the zone over; sorted
	Parts      []FloorPart `json:"parts"`      // of the floor; they sum to at most 1
}

// FloorPart is the part of a zone's floor that one VM keeps without any lease.
type FloorPart struct {
	VM          vm.Name        `json:"vm"`
	Incarnation vm.Incarnation `json:"incarnation"` // that confirmed the part; 0: none yet
	Part        float64        `json:"part"`        // 0 to 1
	// Confirmations counts those of this life after the first; see Elector.FloorUntil.
	Confirmations uint64 `json:"confirmations,omitempty"`
}

// sameLife says whether no confirmation lies between p and q.
func (p FloorPart) sameLife(q FloorPart) bool {
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

// sum returns how much of the floor belongs to any VM.
func (r *Record) sum() float64 {
	sum := 0.0
	for _, p := range r.Parts {
		sum += p.Part
	}
	return sum
}

// confirm notes that this life of a VM uses its part; again makes it differ from the last confirmation.
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

// add changes the part of a VM by part; a part of 0 is removed.
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

// DecodeError reports a value of the store that is not what its key should hold.
type DecodeError struct {
	Key   string
	Cause error
}

// Error implements error.
func (e *DecodeError) Error() string { return "value of " + e.Key + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }

func decode(key string, value []byte, into any) error {
	if err := json.Unmarshal(value, into); err != nil {
		return &DecodeError{Key: key, Cause: err}
	}
	return nil
}
