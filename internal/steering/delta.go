package steering

import (
	"cmp"
	"slices"
	"time"
)

// delta is the change from one revision to the next.
type delta struct {
	Revision    Revision      `json:"revision"`
	Publication PublicationID `json:"publication"`
	PublishedAt time.Time     `json:"published_at"`
	Parent      PublicationID `json:"parent"` // publication of the revision before
	Digest      Digest        `json:"digest"` // of the content after the change
	Platform    *Platform     `json:"platform,omitempty"`
	Services    []Service     `json:"services,omitempty"` // changed and new ones, sorted by name
	Removed     []ServiceName `json:"removed,omitempty"`  // sorted
}

// isEmpty reports whether d changes nothing.
func (d *delta) isEmpty() bool {
	return d.Platform == nil && len(d.Services) == 0 && len(d.Removed) == 0
}

func encodeDelta(d *delta) ([]byte, error) { return encode(magicDelta, d) }

func decodeDelta(data []byte) (*delta, error) {
	var d delta
	if err := decode(magicDelta, data, maxDeltaBytes, &d); err != nil {
		return nil, err
	}
	return &d, nil
}

// deltaList is a list of encoded deltas that is sent to peers.
type deltaList struct {
	Deltas [][]byte `json:"deltas"`
}

// apply returns the state after d. On *EncodingError s is unchanged.
func (s *state) apply(d *delta, encoded []byte) (*state, error) {
	if d.Parent != s.configuration.Publication || d.Revision != s.configuration.Revision+1 {
		return nil, &EncodingError{Fault: FaultChain}
	}
	next, err := s.withChanges(d)
	if err != nil {
		return nil, err
	}
	if next.digests.combined() != d.Digest {
		return nil, &EncodingError{Fault: FaultDigest}
	}
	if err := next.check(d); err != nil {
		return nil, err
	}
	next.setRecentDeltas(s.recent, encoded)
	return next, nil
}

// withChanges returns s with the changes of d applied. It verifies neither the chain nor the digest,
// and runs no checks.
func (s *state) withChanges(d *delta) (*state, error) {
	c := *s.configuration
	c.Revision, c.Publication, c.PublishedAt = d.Revision, d.Publication, d.PublishedAt
	c.Services = slices.Clone(c.Services)
	next := &state{configuration: &c, digests: s.digests, changedIn: s.changedIn}
	next.digests.services = slices.Clone(s.digests.services)
	next.changedIn.Services = slices.Clone(s.changedIn.Services)
	if d.Platform != nil {
		if err := next.setPlatform(*d.Platform); err != nil {
			return nil, err
		}
	}
	for _, name := range d.Removed {
		next.removeService(name)
	}
	for i := range d.Services {
		if err := next.putService(d.Services[i]); err != nil {
			return nil, err
		}
	}
	return next, nil
}

func (s *state) setPlatform(p Platform) error {
	digest, err := itemDigest(&p)
	if err != nil {
		return err
	}
	s.configuration.Platform = p
	s.digests.platform = digest
	s.changedIn.Platform = s.configuration.Revision
	return nil
}

// findService returns the index of a service, or the index at which it would be inserted.
func (s *state) findService(name ServiceName) (int, bool) {
	return slices.BinarySearchFunc(s.configuration.Services, name, func(service Service, name ServiceName) int {
		return cmp.Compare(service.Name, name)
	})
}

func (s *state) removeService(name ServiceName) {
	i, ok := s.findService(name)
	if !ok {
		return
	}
	s.configuration.Services = slices.Delete(s.configuration.Services, i, i+1)
	s.digests.services = slices.Delete(s.digests.services, i, i+1)
	s.changedIn.Services = slices.Delete(s.changedIn.Services, i, i+1)
}

func (s *state) putService(service Service) error {
	digest, err := itemDigest(&service)
	if err != nil {
		return err
	}
	i, ok := s.findService(service.Name)
	if !ok {
		s.configuration.Services = slices.Insert(s.configuration.Services, i, service)
		s.digests.services = slices.Insert(s.digests.services, i, digest)
		s.changedIn.Services = slices.Insert(s.changedIn.Services, i, s.configuration.Revision)
		return nil
	}
	s.configuration.Services[i] = service
	s.digests.services[i] = digest
	s.changedIn.Services[i] = s.configuration.Revision
	return nil
}

// check runs the checks on what d changed, and on all services if it changed the platform.
func (s *state) check(d *delta) error {
	if d.Platform != nil {
		return validate(s.configuration)
	}
	src := &source{file: "configuration"}
	report := &Report{}
	for i := range d.Services {
		checkService(&d.Services[i], src, report)
		checkAgainstPlatform(&d.Services[i], src, &s.configuration.Platform, report)
	}
	if err := report.Err(); err != nil {
		return &EncodingError{Fault: FaultChecks, Cause: err}
	}
	return nil
}
