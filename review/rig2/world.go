package rig2

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// World is a small deployment on loopback addresses.
type World struct {
	Store    *Store
	Record   *Record
	Gateways []*Gateway
	Trouble  bool // TROUBLE is not 0

	dir    string
	subnet string // the first three numbers of its addresses
	hosts  int
}

// Zones are the zones of the deployment with their regions.
var Zones = [][2]string{{"north-a", "north"}, {"north-b", "north"}, {"south-a", "south"}, {"south-b", "south"}}

// Exit codes of a case.
const (
	Held     = 0
	Broken   = 1
	NotRun   = 2
	duration = 30 * time.Second // until a process must have become ready
)

// Main runs a case and ends the process with its result.
func Main(record string, run func(w *World) (broken bool, err error)) {
	w, err := newWorld()
	broken := false
	if err == nil {
		broken, err = run(w)
		w.close()
		if writeErr := w.Record.WriteFile(record); err == nil {
			err = writeErr
		}
	}
	switch {
	case err != nil:
		fmt.Println("the case did not run:", err)
		os.Exit(NotRun)
	case broken:
		os.Exit(Broken)
	}
	os.Exit(Held)
}

func newWorld() (*World, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &World{
		Record: NewRecord(), Trouble: os.Getenv("TROUBLE") != "0", dir: dir,
		subnet: fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250)),
	}
	w.Store, err = StartStore(w.IP() + ":0")
	return w, err
}

// IP returns a loopback address that nothing else of this deployment uses.
func (w *World) IP() string {
	w.hosts++
	return fmt.Sprintf("%s.%d", w.subnet, w.hosts)
}

// StartGateways starts a gateway in each of the first n zones and waits until all are ready.
func (w *World) StartGateways(n int) error {
	ips := make([]string, n)
	d := &Deployment{Binary: os.Getenv("AZUREFLOW"), Dir: w.dir, Store: w.Store.Address, Zones: Zones, Bounds: StandardBounds}
	if d.Binary == "" {
		d.Binary = filepath.Join("target", "azureflow")
	}
	for i := range ips {
		ips[i] = w.IP()
		d.Seeds = append(d.Seeds, ips[i]+controlPort)
	}
	for i, ip := range ips {
		g, err := d.NewGateway(fmt.Sprintf("edge-%d", i+1), ip, Zones[i%len(Zones)][0], Zones[i%len(Zones)][1])
		if err != nil {
			return err
		}
		if err := g.Start(); err != nil {
			return err
		}
		w.Gateways = append(w.Gateways, g)
	}
	for _, g := range w.Gateways {
		if err := g.AwaitReady(); err != nil {
			return err
		}
	}
	w.Record.Note("%d gateways are ready", n)
	return nil
}

// Frontends returns the addresses for callers.
func (w *World) Frontends() []string {
	addresses := make([]string, len(w.Gateways))
	for i, g := range w.Gateways {
		addresses[i] = g.Frontend
	}
	return addresses
}

// AwaitReady waits until the gateway says that it is ready.
func (g *Gateway) AwaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + g.Readiness + "/azureflow/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", g.Name, duration)
}

// close ends all processes.
func (w *World) close() {
	for _, g := range w.Gateways {
		_ = g.Cmd.Process.Signal(syscall.SIGCONT)
		_ = g.Cmd.Process.Kill()
		_ = g.Wait()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("kept", w.dir)
	}
}
