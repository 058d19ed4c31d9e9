package demo

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azureflow/azureflow/internal/review"
	"github.com/azureflow/azureflow/internal/standin"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// story collects the events of a session by phase. Phases begin at fixed virtual times; within one the
// events of different hops have no order.
type story struct {
	mu     sync.Mutex
	began  time.Time
	phases []*phase
}

type phase struct {
	at     time.Duration // since the session began
	title  string
	events []string
}

// begin starts a phase at a time since the session began.
func (s *story) begin(at time.Duration, title string) {
	time.Sleep(time.Until(s.began.Add(at)))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.phases = append(s.phases, &phase{at: at, title: title})
}

// tell notes an event of the current phase once.
func (s *story) tell(hop, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.phases[len(s.phases)-1]
	line := fmt.Sprintf("%-9s %s", hop, fmt.Sprintf(format, args...))
	if !slices.Contains(now.events, line) {
		now.events = append(now.events, line)
	}
}

func (s *story) String() string {
	var b strings.Builder
	for _, p := range s.phases {
		fmt.Fprintf(&b, "%4.0f s  %s\n", p.at.Seconds(), p.title)
		slices.Sort(p.events)
		for _, line := range p.events {
			fmt.Fprintf(&b, "        %s\n", line)
		}
	}
	return b.String()
}

// follow tells what the entry VMs decide: revisions, leaders, shifts, stops.
func (s *story) follow(ctx context.Context, w *world) {
	const every = 100 * time.Millisecond
	seen := make(map[vm.Name]time.Time)
	for _, e := range w.entries {
		seen[e.row.Name] = s.began
	}
	for sleep(ctx, every) == nil {
		now := time.Now()
		for _, e := range w.entries {
			records, _ := e.daemon.Records().Range("", seen[e.row.Name], now, 1000)
			seen[e.row.Name] = now
			for _, r := range records {
				s.record(string(e.row.Name), r)
			}
		}
	}
}

func (s *story) record(hop string, r *review.Record) {
	switch r.Kind {
	case review.KindRevision:
		s.tell(hop, "revision %d: %s", r.Revision, r.Result)
	case review.KindLeader:
		if r.Result == hop {
			s.tell(hop, "leads %s", inputOf(r, "zone"))
		}
	case review.KindShift:
		s.tell(hop, "shifts traffic of %s", r.Service)
	case review.KindStop:
		s.tell(hop, "planned stop %s", r.Result)
	}
}

func inputOf(r *review.Record, name string) string {
	for _, i := range r.Inputs {
		if i.Name == name {
			return i.Value
		}
	}
	return ""
}

// ask sends one request as a caller of region and tells its outcome.
func (s *story) ask(w *world, region steering.RegionName, operation steering.OperationName, n int) {
	for _, f := range w.flows() {
		if f.region != region || f.operation.Name != operation {
			continue
		}
		random := newRandom(uint64(n))
		c := f.newCall(n, random)
		t := newTally()
		c.run(t)
		outcome := "unknown"
		switch {
		case t.done == 1:
			outcome = "done"
		case len(t.notRun) == 1:
			outcome = "not-run"
		}
		s.tell("caller", "%s from %s: %s", operation, region, outcome)
		return
	}
}

// TestGoldenSession runs one whole session and compares its story with the golden file.
func TestGoldenSession(t *testing.T) {
	for _, name := range []string{"sohar", "zollbrugg"} {
		t.Run(name, func(t *testing.T) {
			var got string
			synctest.Test(t, func(t *testing.T) { got = session(t, name) })
			compareGolden(t, filepath.Join("testdata", name+".golden"), got)
		})
	}
}

func compareGolden(t *testing.T, file, got string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("story differs from %s; -update rewrites it. Got:\n%s", file, got)
	}
}

// session publishes, serves, drains, slows, loses the store and a region, and stops as planned.
func session(t *testing.T, name string) string {
	d, err := loadDeployment(name)
	if err != nil {
		t.Fatal(err)
	}
	s := &story{began: time.Now()}
	s.begin(0, "operator publishes the steering files of "+name)
	w, err := startWorld(context.Background(), Options{Deployment: name}.withDefaults(), d, newMemory())
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	var following sync.WaitGroup
	following.Go(func() { s.follow(ctx, w) })

	s.begin(10*time.Second, "callers of every region use every operation")
	s.serveAll(w, 1)
	s.begin(30*time.Second, "the platform's store and VM list go down")
	w.platform.SetFaults("", standin.PlatformFaults{Down: true, VMListDown: true})
	time.Sleep(15 * time.Second)
	s.serveAll(w, 2)
	s.begin(60*time.Second, "the platform is back")
	w.platform.SetFaults("", standin.PlatformFaults{})
	s.begin(80*time.Second, "every fourth server is 20 times slower")
	w.slow(20)
	s.serveAll(w, 3)
	w.slow(0)
	zone := w.lastZone()
	s.begin(120*time.Second, string(zone)+" is cut off")
	w.network.setCut(zone, true)
	time.Sleep(10 * time.Second)
	s.serveAll(w, 4)
	s.begin(160*time.Second, string(zone)+" is back")
	w.network.setCut(zone, false)
	time.Sleep(30 * time.Second)
	s.serveAll(w, 5)
	s.begin(220*time.Second, "operator stops "+string(w.victim().row.Name)+" as planned")
	w.drain(w.victim())
	time.Sleep(10 * time.Second)
	s.serveAll(w, 6)
	s.begin(260*time.Second, "review")

	stop()
	following.Wait()
	w.stop()
	time.Sleep(time.Minute)
	s.ledger(w)
	return s.String()
}

// serveAll sends one request of each operation from each region, one after the other.
func (s *story) serveAll(w *world, round int) {
	for _, r := range w.deployment.config.Platform.Regions {
		for i := range w.deployment.config.Services {
			for _, op := range w.deployment.config.Services[i].Operations {
				s.ask(w, r.Name, op.Name, round)
			}
		}
	}
}

// ledger tells what the upstreams really ran.
func (s *story) ledger(w *world) {
	var ledgers []standin.Ledger
	for _, u := range w.upstreams {
		ledgers = append(ledgers, u.standin.Ledger())
	}
	s.tell("upstream", "ledgers: %d non-idempotent keys ran twice", len(standin.Doubled(ledgers...)))
}
