package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the settings: those of the site sohar-proof.
const (
	drainTime = 2500 * time.Millisecond
	grace     = 6 * time.Second
)

// settings is the settings file of a gateway: node name, IP, zone, region, seeds, address of the store.
const settings = `[self]
node_name = "%[1]s"
role = "gateway"
machine_class = "edge"
serves = ["edge","directory","control"]
ip = "%[2]s"
zone = "%[3]s"
region = "%[4]s"
counts_as_loss = false
bootstrap = true
[self.limits]
cpu_share = 0.64
core_speed = 1
memory_mb = 544
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[network]
internal_port_range = [7200,7215]
seeds = [%[5]s]
[network.listen]
frontend = "%[2]s:8381"
readiness = "%[2]s:8388"
control = "%[2]s:8382"
directory = "%[2]s:8383"
[network.zones]
sohar-a = "batinah"
sohar-b = "batinah"
ruwi-a = "muscat"
[platform]
discovery = "platform"
entry = "directory"
heartbeat_ms = 1500
[platform.platform]
address = "%[6]s"
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
seed_lag_s = 3
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

// config is the operator's configuration: one unsafe route and one for uploads.
const config = `{"version":"r7","routes":{"columns":["name","host","prefix","route_type","timeout_ms","target_latency_ms",` +
	`"priority","service","max_attempts","session_affinity","allowed_regions","traffic_split"],"rows":[` +
	`["r-stamp","hulo84.example","/xapu221/","unsafe",3000,500,1,"stampbook",2,true,[],null],` +
	`["r-scan","jepu9.example","/fiti832/","upload",3000,400,1,"scanvault",2,true,[],null]]},` +
	`"services":{"columns":["name","health_check_path","max_connections","protocol","tls","cold_start_s","cold_per_s"],"rows":[` +
	`["stampbook","/health",390,"h1",false,3.0,7.3],["scanvault","/health",390,"h1",false,3.0,7.3]]},` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// run is one run of a request at a server.
type run struct {
	server, request string
	start           time.Time
}

// gateway is a process of the system.
type gateway struct {
	name, frontend, readiness string
	command                   *exec.Cmd
	ended                     chan struct{}
}

// world is the deployment of a case.
type world struct {
	rec      *record
	trouble  bool
	dir      string
	store    *store
	gateways []*gateway

	mu   sync.Mutex
	runs []*run
}

func newWorld(rec *record, trouble bool) (*world, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	rec.printf("trouble: %v", trouble)
	return &world{rec: rec, trouble: trouble, dir: dir, store: newStore()}, nil
}

func (w *world) ran(r *run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, r)
}

func (w *world) runsOf(server string) []*run {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []*run
	for _, r := range w.runs {
		if r.server == server {
			found = append(found, r)
		}
	}
	return found
}

// place is where a gateway stands.
type place struct{ zone, region string }

// oneEach has a gateway in each zone.
var oneEach = []place{{"sohar-a", "batinah"}, {"sohar-b", "batinah"}, {"ruwi-a", "muscat"}}

// startGateways starts a gateway at each place with the operator's configuration in force, and waits until all are
// ready. edit changes the text of the settings.
func (w *world) startGateways(config string, places []place, edit *strings.Replacer) error {
	storeListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(storeListener, w.store) }()
	w.store.put("op/config", config)
	net24, err := freeLoopbackNet(len(places))
	if err != nil {
		return err
	}
	var seeds []string
	for i := range maxSeeds {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s.%d:8382", net24, i+1)))
	}
	for i, p := range places {
		name, ip := fmt.Sprintf("edge-%s-%d", p.zone, i+1), fmt.Sprintf("%s.%d", net24, i+1)
		text := fmt.Sprintf(settings, name, ip, p.zone, p.region, strings.Join(seeds, ","), storeListener.Addr())
		if err := w.startGateway(name, ip, edit.Replace(text)); err != nil {
			return err
		}
	}
	for _, g := range w.gateways {
		if err := g.awaitReady(); err != nil {
			return err
		}
	}
	w.rec.printf("gateways are ready")
	return nil
}

func (w *world) startGateway(name, ip, text string) error {
	path := filepath.Join(w.dir, name+".toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(w.dir, name+".log"))
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command("target/azureflow", "gateway")
	command.Env = []string{"AZUREFLOW_NODE_FILE=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	g := &gateway{name: name, frontend: ip + ":8381", readiness: ip + ":8388", command: command, ended: make(chan struct{})}
	w.gateways = append(w.gateways, g)
	go func() {
		err := command.Wait()
		w.rec.printf("%s ended: %v", name, err)
		close(g.ended)
	}()
	return nil
}

// maxSeeds is the number of entry VMs that the settings name.
const maxSeeds = 3

// freeLoopbackNet returns the first three numbers of loopback addresses on which the ports of n gateways are free.
func freeLoopbackNet(n int) (string, error) {
	for range 50 {
		net24 := fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250))
		if areFree(net24, n) {
			return net24, nil
		}
	}
	return "", fmt.Errorf("%w: no free loopback addresses", errSetup)
}

func areFree(net24 string, n int) bool {
	for i := 1; i <= n; i++ {
		for _, port := range []int{8381, 8382, 8383, 8388, 9464} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", net24, i, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (g *gateway) awaitReady() error {
	for range 200 {
		resp, err := http.Get("http://" + g.readiness + "/azureflow/ready")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%w: %s is not ready", errSetup, g.name)
}

// terminate sends SIGTERM, and SIGKILL after the grace period. It returns when SIGTERM was sent.
func (w *world) terminate(g *gateway) time.Time {
	_ = g.command.Process.Signal(syscall.SIGTERM)
	sent := time.Now()
	w.rec.printf("SIGTERM to %s", g.name)
	go func() {
		select {
		case <-g.ended:
		case <-time.After(grace):
			_ = g.command.Process.Kill()
		}
	}()
	return sent
}

// stop ends all processes that the case started.
func (w *world) stop() {
	for _, g := range w.gateways {
		_ = g.command.Process.Kill()
		<-g.ended
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		w.rec.printf("kept %s", w.dir)
	}
}
