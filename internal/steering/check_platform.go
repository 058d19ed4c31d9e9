package steering

import (
	"fmt"
	"regexp"
	"time"
)

// Limits on the values of platform and steering files.
const (
	maxDelay        = 5 * time.Second
	maxCapacityMbit = 10_000_000
)

const allowedName = "a name of lower-case letters, digits and hyphens, 1 to 63, a letter first"

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// checker adds the faults and warnings of one file to a report.
type checker struct {
	source *source
	report *Report
}

func (c *checker) fault(path, found, allowed string) {
	c.report.fault(c.source.positionOf(path), path, found, allowed)
}

func (c *checker) warn(path, found, advice string) {
	c.report.warn(c.source.positionOf(path), path, found, advice)
}

// hasValue reports whether the file holds a value of the right type at path.
func (c *checker) hasValue(path string) bool {
	if c.source.offsets == nil {
		return true // not from a file
	}
	_, ok := c.source.offsets[path]
	return ok && !c.source.invalid[path]
}

// name checks the name at path. A missing name is already reported by the binder.
func (c *checker) name(path, name string) {
	if c.hasValue(path) && !namePattern.MatchString(name) {
		c.fault(path, quote(name), allowedName)
	}
}

func (c *checker) duration(path string, d Duration, least, most time.Duration) {
	if c.hasValue(path) && (d.Std() < least || d.Std() > most) {
		c.fault(path, d.Std().String(), fmt.Sprintf("%v to %v", least, most))
	}
}

func (c *checker) number(path string, n, least, most float64) {
	if c.hasValue(path) && (n < least || n > most) {
		c.fault(path, fmt.Sprint(n), fmt.Sprintf("%v to %v", least, most))
	}
}

// unique reports a fault if name is in set already, and adds it.
func (c *checker) unique(path, what, name string, set map[string]bool) {
	if name != "" && set[name] {
		c.fault(path, fmt.Sprintf("%s %s a second time", what, quote(name)), "each once")
	}
	set[name] = true
}

func checkPlatform(p *platformFile, s *source, report *Report) {
	c := &checker{s, report}
	c.name("deployment", p.Deployment)
	c.duration("zone_delay", p.ZoneDelay, 0, maxDelay)
	c.duration("client_delay", p.ClientDelay, 0, maxDelay)
	c.regions(p.Regions)
	c.links(p)
	c.teams(p.Teams)
}

func (c *checker) regions(regions []Region) {
	if c.hasValue("regions") && len(regions) == 0 {
		c.fault("regions", "no region", "at least one")
	}
	names, zones := make(map[string]bool), make(map[string]bool)
	for i, r := range regions {
		path := fmt.Sprintf("regions[%d]", i)
		c.name(path+".name", string(r.Name))
		c.unique(path+".name", "region", string(r.Name), names)
		if len(r.Zones) == 0 {
			c.fault(path+".zones", "no zone", "at least one")
		}
		for j, z := range r.Zones {
			zonePath := fmt.Sprintf("%s.zones[%d]", path, j)
			c.name(zonePath, string(z))
			c.unique(zonePath, "zone", string(z), zones)
		}
	}
}

func (c *checker) links(p *platformFile) {
	seen := make(map[string]bool)
	for i, l := range p.Links {
		path := fmt.Sprintf("links[%d]", i)
		c.regionOf(path+".from", l.From, p.Regions)
		c.regionOf(path+".to", l.To, p.Regions)
		if l.From != "" && l.From == l.To {
			c.fault(path+".to", quote(string(l.To)), "another region than from")
		}
		c.unique(path, "link", string(l.From+" to "+l.To), seen)
		if l.BothWays {
			c.unique(path, "link", string(l.To+" to "+l.From), seen)
		}
		if c.hasValue(path+".capacity_mbit_s") && l.CapacityMbit <= 0 {
			c.fault(path+".capacity_mbit_s", fmt.Sprint(l.CapacityMbit), "above 0")
		}
		c.number(path+".capacity_mbit_s", l.CapacityMbit, 0, maxCapacityMbit)
		c.duration(path+".delay", l.Delay, 0, maxDelay)
	}
	c.missingLinks(p.Regions, seen)
}

func (c *checker) missingLinks(regions []Region, seen map[string]bool) {
	for i, from := range regions {
		for j, to := range regions {
			if i != j && !seen[string(from.Name+" to "+to.Name)] {
				found := fmt.Sprintf("no link from %q to %q", from.Name, to.Name)
				c.warn("links", found, "nothing can be shifted that way")
			}
		}
	}
}

func (c *checker) regionOf(path string, name RegionName, regions []Region) {
	if !c.hasValue(path) {
		return
	}
	for _, r := range regions {
		if r.Name == name {
			return
		}
	}
	c.fault(path, "unknown region "+quote(string(name)), "one of "+regionNames(regions))
}

func (c *checker) teams(teams []Team) {
	names, services := make(map[string]bool), make(map[string]bool)
	for i, t := range teams {
		path := fmt.Sprintf("teams[%d]", i)
		c.name(path+".name", string(t.Name))
		c.unique(path+".name", "team", string(t.Name), names)
		for j, s := range t.Services {
			servicePath := fmt.Sprintf("%s.services[%d]", path, j)
			c.name(servicePath, string(s))
			c.unique(servicePath, "service", string(s), services)
		}
	}
}

func regionNames(regions []Region) string {
	text := ""
	for i, r := range regions {
		if i > 0 {
			text += ", "
		}
		text += string(r.Name)
	}
	return text
}
