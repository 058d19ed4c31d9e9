package steering

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
)

// merge returns the changes that the content of a tree makes to a state. Services that the tree does
// not contain stay; those that its platform file assigns to no team are removed.
func (t *Tree) merge(s *state) (*delta, error) {
	d := &delta{}
	if t.platform != nil && !sameJSON(t.platform, &s.configuration.Platform) {
		d.Platform = t.platform
	}
	for i := range t.services {
		service := &t.services[i].Service
		if j, ok := s.findService(service.Name); !ok || !sameJSON(service, &s.configuration.Services[j]) {
			d.Services = append(d.Services, *service)
		}
	}
	if t.platform != nil {
		d.Removed = servicesWithoutTeam(s.configuration.Services, t.platform)
	}
	return d, nil
}

// servicesWithoutTeam returns the services that p assigns to no team.
func servicesWithoutTeam(services []Service, p *Platform) []ServiceName {
	var names []ServiceName
	for _, s := range services {
		owned := slices.ContainsFunc(p.Teams, func(t Team) bool { return slices.Contains(t.Services, s.Name) })
		if !owned {
			names = append(names, s.Name)
		}
	}
	return names
}

func sameJSON(a, b any) bool {
	textA, errA := json.Marshal(a)
	textB, errB := json.Marshal(b)
	return errA == nil && errB == nil && bytes.Equal(textA, textB)
}

// checkInForce runs the checks that need the configuration in force: the tree's services against the platform, and
// the services in force that the tree does not contain against a changed platform.
func (t *Tree) checkInForce(d *delta, s *state) error {
	platform := &s.configuration.Platform
	if d.Platform != nil {
		platform = d.Platform
	}
	report := &Report{}
	t.checkAgainst(platform, report)
	if d.Platform != nil {
		t.checkRemaining(platform, d, s, report)
	}
	report.sort()
	return report.Err()
}

func (t *Tree) checkRemaining(p *Platform, d *delta, s *state, report *Report) {
	for i := range s.configuration.Services {
		service := &s.configuration.Services[i]
		if t.hasService(service.Name) || slices.Contains(d.Removed, service.Name) {
			continue
		}
		file := fmt.Sprintf("(service %s in force, revision %d)", service.Name, s.configuration.Revision)
		checkAgainstPlatform(service, &source{file: file}, p, report)
	}
}

// restrictTo removes from d what `mine` does not change. A publication that is rebased on a later
// revision must not undo the changes of other publications.
func (d *delta) restrictTo(mine *delta) {
	if mine.Platform == nil {
		d.Platform = nil
		d.Removed = nil
	}
	d.Services = slices.DeleteFunc(d.Services, func(s Service) bool {
		return !slices.ContainsFunc(mine.Services, func(m Service) bool { return m.Name == s.Name })
	})
}

// checkConflict returns *ConflictError if a part that d changes was changed in s after base.
func (d *delta) checkConflict(s *state, base Revision) error {
	if d.Platform != nil && s.changedIn.Platform > base {
		return &ConflictError{Revision: s.changedIn.Platform, Base: base}
	}
	names := slices.Clone(d.Removed)
	for i := range d.Services {
		names = append(names, d.Services[i].Name)
	}
	for _, name := range names {
		if i, ok := s.findService(name); ok && s.changedIn.Services[i] > base {
			return &ConflictError{Service: name, Revision: s.changedIn.Services[i], Base: base}
		}
	}
	return nil
}
