package steering

import (
	"slices"
	"sync"
)

// maxRecentDeltas is the number of deltas that a VM retains for its peers.
const maxRecentDeltas = 64

// revisionSet holds the revision in which each part of a configuration was last changed.
type revisionSet struct {
	Platform Revision   `json:"platform"`
	Services []Revision `json:"services"` // as in Configuration.Services
}

// state is a configuration with the data needed to apply further deltas. It is immutable once shared.
type state struct {
	configuration *Configuration
	digests       digestSet
	changedIn     revisionSet
	recent        []recentDelta // the last deltas, oldest first

	encodeOnce sync.Once
	encoded    []byte
	encodeErr  error
}

// recentDelta is an encoded delta that led to a revision.
type recentDelta struct {
	revision Revision
	encoded  []byte
}

// newState returns the state of c; each part counts as changed in c's revision.
func newState(c *Configuration) (*state, error) {
	digests, err := itemDigests(c)
	if err != nil {
		return nil, err
	}
	s := &state{configuration: c, digests: digests}
	s.changedIn.Platform = c.Revision
	s.changedIn.Services = slices.Repeat([]Revision{c.Revision}, len(c.Services))
	return s, nil
}

// emptyState returns the state before the first revision.
func emptyState() *state {
	return &state{configuration: &Configuration{Services: []Service{}}}
}

// setRecentDeltas sets the recent deltas: those before and one more.
func (s *state) setRecentDeltas(before []recentDelta, encoded []byte) {
	keep := before[max(0, len(before)+1-maxRecentDeltas):]
	s.recent = append(slices.Clone(keep), recentDelta{s.configuration.Revision, encoded})
}

// encodeFull returns the full configuration in encoded form.
func (s *state) encodeFull() ([]byte, error) {
	s.encodeOnce.Do(func() { s.encoded, s.encodeErr = Encode(s.configuration) })
	return s.encoded, s.encodeErr
}

// encodeSince returns the deltas from a revision to s in encoded form, or the full configuration if they
// are not retained.
func (s *state) encodeSince(revision Revision) ([]byte, error) {
	i := slices.IndexFunc(s.recent, func(d recentDelta) bool { return d.revision == revision+1 })
	if i < 0 || revision == 0 {
		return s.encodeFull()
	}
	var list deltaList
	for _, d := range s.recent[i:] {
		list.Deltas = append(list.Deltas, d.encoded)
	}
	return encode(magicDeltas, &list)
}
