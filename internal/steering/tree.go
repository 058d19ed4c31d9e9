package steering

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// Names of the files that LoadTree looks for in directories.
const (
	platformFileName   = "platform.jsonc"
	steeringFileSuffix = ".steering.jsonc"
)

// Tree is the content of a set of steering files and at most one platform file.
type Tree struct {
	platform       *Platform
	platformSource *source
	services       []loadedService
}

// loadedService is a service and the file it came from.
type loadedService struct {
	Service
	source *source
}

// fileLink is a link as the platform file writes it.
type fileLink struct {
	From         RegionName `json:"from" file:"required"`
	To           RegionName `json:"to" file:"required"`
	BothWays     bool       `json:"both_ways"`
	CapacityMbit float64    `json:"capacity_mbit_s" file:"required"`
	Delay        Duration   `json:"delay" file:"required"`
}

// platformFile is the content of the platform file.
type platformFile struct {
	Deployment  string     `json:"deployment" file:"required"`
	ZoneDelay   Duration   `json:"zone_delay"`
	ClientDelay Duration   `json:"client_delay"`
	Regions     []Region   `json:"regions" file:"required"`
	Links       []fileLink `json:"links"`
	Teams       []Team     `json:"teams" file:"required"`
}

// LoadTree reads platform.jsonc and every *.steering.jsonc at or below paths and checks them. The
// report holds every fault and warning; the tree may be published only if there are no faults.
// A tree without platform.jsonc is checked against the platform in force when it is published.
func LoadTree(paths []string) (*Tree, *Report) {
	report := &Report{}
	tree := &Tree{}
	for _, file := range findFiles(paths, report) {
		tree.load(file, report)
	}
	tree.check(report)
	report.sort()
	return tree, report
}

// Configuration returns the content of the tree with revision 0.
func (t *Tree) Configuration() *Configuration {
	c := &Configuration{Services: make([]Service, 0, len(t.services))}
	if t.platform != nil {
		c.Platform = *t.platform
	}
	for i := range t.services {
		c.Services = append(c.Services, t.services[i].Service)
	}
	return c
}

// findFiles returns the files at or below paths, each once, sorted.
func findFiles(paths []string, report *Report) []string {
	var files []string
	for _, path := range paths {
		faults := len(report.Faults)
		found := filesBelow(path, report)
		if len(found) == 0 && len(report.Faults) == faults {
			report.fault(Position{path, 1, 1}, "", "no steering file", platformFileName+" or *"+steeringFileSuffix)
		}
		files = append(files, found...)
	}
	slices.Sort(files)
	return slices.Compact(files)
}

func filesBelow(path string, report *Report) []string {
	var files []string
	err := filepath.WalkDir(path, func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			report.fault(Position{name, 1, 1}, "", err.Error(), "a file that can be read")
			return nil
		}
		if !entry.IsDir() && isSteeringName(name) {
			files = append(files, filepath.Clean(name))
		}
		return nil
	})
	if err != nil {
		report.fault(Position{path, 1, 1}, "", err.Error(), "a file that can be read")
	}
	return files
}

func isSteeringName(name string) bool {
	base := filepath.Base(name)
	return base == platformFileName || strings.HasSuffix(base, steeringFileSuffix)
}

func (t *Tree) load(file string, report *Report) {
	text, err := readFile(file)
	if err != nil {
		report.fault(Position{file, 1, 1}, "", err.Error(), "a file that can be read")
		return
	}
	if filepath.Base(file) == platformFileName {
		t.loadPlatform(file, text, report)
		return
	}
	t.loadService(file, text, report)
}

// readFile reads file up to one byte beyond the limit, which the parser then rejects.
func readFile(file string) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return readAtMost(f, maxFileBytes+1)
}

func (t *Tree) loadPlatform(file string, text []byte, report *Report) {
	var content platformFile
	s := bindFile(file, text, &content, report)
	if s == nil {
		return
	}
	if t.platform != nil {
		report.fault(s.positionOf(""), "", "a second platform file", "one; the other is "+t.platformSource.file)
		return
	}
	t.platform, t.platformSource = content.platform(), s
	checkPlatform(&content, s, report)
}

func (p *platformFile) platform() *Platform {
	out := &Platform{
		Deployment:  p.Deployment,
		ZoneDelay:   p.ZoneDelay,
		ClientDelay: p.ClientDelay,
		Regions:     p.Regions,
		Teams:       p.Teams,
		Links:       []Link{},
	}
	for _, l := range p.Links {
		out.Links = append(out.Links, Link{l.From, l.To, l.CapacityMbit, l.Delay})
		if l.BothWays {
			out.Links = append(out.Links, Link{l.To, l.From, l.CapacityMbit, l.Delay})
		}
	}
	return out
}

func (t *Tree) loadService(file string, text []byte, report *Report) {
	service := DefaultService()
	s := bindFile(file, text, &service, report)
	if s == nil {
		return
	}
	checkService(&service, s, report)
	fillDeadlines(&service)
	t.services = append(t.services, loadedService{Service: service, source: s})
}

// check compares the files with each other.
func (t *Tree) check(report *Report) {
	slices.SortStableFunc(t.services, func(a, b loadedService) int {
		return strings.Compare(string(a.Name), string(b.Name))
	})
	for i := 1; i < len(t.services); i++ {
		if before := &t.services[i-1]; before.Name == t.services[i].Name {
			s := t.services[i].source
			found := fmt.Sprintf("service %q a second time", before.Name)
			report.fault(s.positionOf("service"), "service", found, "one file; the other is "+before.source.file)
		}
	}
	if t.platform != nil {
		t.checkAgainst(t.platform, report)
	}
}

// checkAgainst checks the services against a platform, which may be the one in force.
func (t *Tree) checkAgainst(p *Platform, report *Report) {
	for i := range t.services {
		checkAgainstPlatform(&t.services[i].Service, t.services[i].source, p, report)
	}
	if t.platform != nil {
		t.warnMissingServices(report)
		t.warnLinks(report)
	}
}

func (t *Tree) warnMissingServices(report *Report) {
	for i, team := range t.platform.Teams {
		for j, name := range team.Services {
			if t.hasService(name) {
				continue
			}
			path := fmt.Sprintf("teams[%d].services[%d]", i, j)
			found := fmt.Sprintf("no steering file of service %q among the files read", name)
			report.warn(t.platformSource.positionOf(path), path, found, "the one in force, if any, stays")
		}
	}
}

func (t *Tree) hasService(name ServiceName) bool {
	return slices.ContainsFunc(t.services, func(s loadedService) bool { return s.Name == name })
}

// toPlatformFile returns p as a platform file with one row for each direction.
func toPlatformFile(p *Platform) *platformFile {
	out := &platformFile{
		Deployment:  p.Deployment,
		ZoneDelay:   p.ZoneDelay,
		ClientDelay: p.ClientDelay,
		Regions:     p.Regions,
		Teams:       p.Teams,
	}
	for _, l := range p.Links {
		out.Links = append(out.Links, fileLink{From: l.From, To: l.To, CapacityMbit: l.CapacityMbit, Delay: l.Delay})
	}
	return out
}
