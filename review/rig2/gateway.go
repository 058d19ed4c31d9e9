package rig2

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// Gateway is an entry VM as a process of its own, started as the deploy file says.
type Gateway struct {
	Name, IP, Zone, Region string
	Frontend               string
	Readiness              string
	Directory              string
	settings               string
	binary                 string
	log                    *os.File
	Cmd                    *exec.Cmd
}

// Deployment is what all gateways share.
type Deployment struct {
	Binary string // target/azureflow
	Dir    string // for settings and logs
	Store  string // address
	Zones  [][2]string
	Seeds  []string
	Bounds string // lines of [terms.bounds]
}

// StandardBounds are those of DEPLOY.md.
const StandardBounds = `seed_lag_s = 3
reuse_after_s = 2
stable_window_ms = 4000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2500
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2500
rollback_slack_ms = 250
max_skew_ms = 6000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 64
cold_overage = 1.5
cold_slack = 5
evacuate_ms = 5000
recover_s = 15
ttl_max_s = 5
max_shift = 0.15
`

// NewGateway writes the settings of a gateway on ip, which must be a loopback address of its own.
func (d *Deployment) NewGateway(name, ip, zone, region string) (*Gateway, error) {
	g := &Gateway{
		Name: name, IP: ip, Zone: zone, Region: region, Frontend: ip + ":18381", Readiness: ip + ":18388", Directory: ip + ":18383",
		settings: filepath.Join(d.Dir, name+".toml"), binary: d.Binary,
	}
	zones := ""
	for _, z := range d.Zones {
		zones += fmt.Sprintf("%s = %q\n", z[0], z[1])
	}
	seeds := `"` + strings.Join(d.Seeds, `","`) + `"`
	text := fmt.Sprintf(`[self]
node_name = %q
role = "gateway"
machine_class = "edge"
serves = ["edge","control","directory"]
ip = %q
zone = %q
region = %q
counts_as_loss = false
bootstrap = true
[self.limits]
cpu_share = 0.64
core_speed = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[network]
internal_port_range = [17200,17215]
seeds = [%s]
[network.listen]
frontend = %q
readiness = %q
control = %q
directory = %q
[network.zones]
%s[platform]
discovery = "platform"
entry = "directory"
heartbeat_ms = 1500
[platform.platform]
address = %q
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
min_ttl_ms = 1000
[terms]
contracts = ["base","drain","config","cost","retry","recover","places","platform"]
[terms.fault_tolerance]
machines = 2
zones = 1
regions = 1
[terms.bounds]
%s`, name, ip, zone, region, seeds, g.Frontend, g.Readiness, ip+controlPort, g.Directory, zones, d.Store, d.Bounds)
	return g, os.WriteFile(g.settings, []byte(text), 0o600)
}

// controlPort is the port at which gateways serve each other.
const controlPort = ":18382"

// Start starts the process.
func (g *Gateway) Start() error {
	log, err := os.OpenFile(g.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	g.log = log
	g.Cmd = exec.Command(g.binary, "gateway")
	g.Cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "AZUREFLOW_NODE_FILE=" + g.settings}
	g.Cmd.Stdout, g.Cmd.Stderr = log, log
	return g.Cmd.Start()
}

// Wait waits for the end of the process.
func (g *Gateway) Wait() error {
	err := g.Cmd.Wait()
	_ = g.log.Close()
	return err
}
