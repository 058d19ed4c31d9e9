package demo

import (
	"os"
	"path/filepath"

	"github.com/azureflow/azureflow/examples"
	"github.com/azureflow/azureflow/internal/steering"
)

// UnknownDeploymentError reports a deployment that is not shipped.
type UnknownDeploymentError struct{ Name string }

// Error implements error.
func (e *UnknownDeploymentError) Error() string {
	return "unknown deployment " + e.Name + ": allowed are sohar, zollbrugg"
}

// deployment is a shipped example at the sizes of today.
type deployment struct {
	name    string
	tree    *steering.Tree
	config  *steering.Configuration
	entries []steering.ZoneName // of each entry VM
	servers []serverSize
}

// serverSize says how many upstreams a service has in all and how large each is.
type serverSize struct {
	service steering.ServiceName
	servers int
	slots   int // requests served at a time by one
}

// sizes are today's servers of each deployment.
var sizes = map[string][]serverSize{
	"sohar":     {{"certdesk", 16, 5}, {"stampbook", 12, 3}, {"scanvault", 14, 5}},
	"zollbrugg": {{"saldo", 12, 5}, {"kasse", 12, 3}, {"archiv", 12, 5}},
}

// loadDeployment reads the shipped files of a deployment.
func loadDeployment(name string) (*deployment, error) {
	servers, known := sizes[name]
	if !known {
		return nil, &UnknownDeploymentError{Name: name}
	}
	dir, err := os.MkdirTemp("", "azureflow-demo-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := os.CopyFS(dir, examples.Files); err != nil {
		return nil, err
	}
	tree, report := steering.LoadTree([]string{filepath.Join(dir, name)})
	if err := report.Err(); err != nil {
		return nil, err
	}
	d := &deployment{name: name, tree: tree, config: tree.Configuration(), servers: servers}
	d.entries = entryZones(&d.config.Platform)
	return d, nil
}

// entryZones places one entry VM in each zone and a second one in the first.
func entryZones(p *steering.Platform) []steering.ZoneName {
	var zones []steering.ZoneName
	for _, r := range p.Regions {
		zones = append(zones, r.Zones...)
	}
	return append(zones, zones[0])
}
