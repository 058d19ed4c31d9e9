package steering

import (
	"cmp"
	"slices"
	"time"
)

// delta is what one revision changes of the one before it.
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

// empty reports whether d changes nothing.
func (d *delta) empty() bool {
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

// deltaList is deltas in encoded form, for peers.
type deltaList struct {
	Deltas [][]byte `json:"deltas"`
}

// apply returns the state after d. Errors: *EncodingError, and s stays as it is.
func (s *state) apply(d *delta, encoded []byte) (*state, error) {
	if d.Parent != s.configuration.Publication || d.Revision != s.configuration.Revision+1 {
		return nil, &EncodingError{Fault: FaultChain}
	}
	next, err := s.change(d)
	if err != nil {
		return nil, err
	}
	if next.digests.all() != d.Digest {
		return nil, &EncodingError{Fault: FaultDigest}
	}
	if err := next.check(d); err != nil {
		return nil, err
	}
	next.remember(s.recent, encoded)
	return next, nil
}

// change returns s with the changes of d made, and neither chain, digest nor checks looked at.
func (s *state) change(d *delta) (*state, error) {
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

// find returns the index of a service, or where it would stand.
func (s *state) find(name ServiceName) (int, bool) {
	return slices.BinarySearchFunc(s.configuration.Services, name, func(service Service, name ServiceName) int {
		return cmp.Compare(service.Name, name)
	})
}

func (s *state) removeService(name ServiceName) {
	i, ok := s.find(name)
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
	i, ok := s.find(service.Name)
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
		checkPlaced(&d.Services[i], src, &s.configuration.Platform, report)
	}
	if err := report.Err(); err != nil {
		return &EncodingError{Fault: FaultChecks, Cause: err}
	}
	return nil
}
