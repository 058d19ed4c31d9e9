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

	"github.com/azureflow/azureflow/internal/clock"
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
	for clock.Sleep(ctx, every) == nil {
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

// sessionStep is a phase of a session, begun at a virtual time since its start.
type sessionStep struct {
	at    time.Duration
	title string
	do    func(s *story, w *world, round int)
}

// daySteps are a day without cuts: service, a store outage, stragglers, a planned stop.
var daySteps = []sessionStep{
	{10 * time.Second, "callers of every region use every operation", (*story).serveAll},
	{30 * time.Second, "the platform's store and VM list go down", func(s *story, w *world, round int) {
		w.platform.SetFaults("", standin.PlatformFaults{Down: true, VMListDown: true})
		time.Sleep(15 * time.Second)
		s.serveAll(w, round)
	}},
	{60 * time.Second, "the platform is back", func(s *story, w *world, round int) {
		w.platform.SetFaults("", standin.PlatformFaults{})
	}},
	{80 * time.Second, "every fourth server is 20 times slower", func(s *story, w *world, round int) {
		w.slow(20)
		s.serveAll(w, round)
		w.slow(0)
	}},
	{120 * time.Second, "operator stops the last entry VM as planned", func(s *story, w *world, round int) {
		w.drain(w.victim())
		time.Sleep(10 * time.Second)
		s.serveAll(w, round)
	}},
}

// cutSteps cut the last zone off and heal it.
var cutSteps = []sessionStep{
	{10 * time.Second, "the last zone is cut off from the others and the platform", func(s *story, w *world, round int) {
		w.network.setCut(w.lastZone(), true)
		time.Sleep(10 * time.Second)
		s.serveAll(w, round)
	}},
	{50 * time.Second, "the zone is back", func(s *story, w *world, round int) {
		w.network.setCut(w.lastZone(), false)
		time.Sleep(30 * time.Second)
		s.serveAll(w, round)
	}},
}

// TestGoldenSession compares the stories of whole sessions with golden files.
func TestGoldenSession(t *testing.T) {
	t.Parallel()
	goldenSession(t, "sohar", "sohar-day", daySteps)
	goldenSession(t, "zollbrugg", "zollbrugg-day", daySteps)
}

// TestGoldenZoneCut compares the story of a zone that is cut off and comes back.
func TestGoldenZoneCut(t *testing.T) {
	t.Parallel()
	goldenSession(t, "sohar", "sohar-cut", cutSteps)
}

func goldenSession(t *testing.T, deployment, name string, steps []sessionStep) {
	t.Run(name, func(t *testing.T) {
		t.Parallel()
		var got string
		synctest.Test(t, func(t *testing.T) { got = session(t, deployment, steps) })
		compareGolden(t, filepath.Join("testdata", name+".golden"), got)
	})
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

// session publishes, runs the steps and returns the story.
func session(t *testing.T, deployment string, steps []sessionStep) string {
	s := &story{began: time.Now()}
	s.begin(0, "operator publishes the steering files of "+deployment)
	w := startVirtual(t, deployment)
	ctx, stop := context.WithCancel(context.Background())
	var following sync.WaitGroup
	following.Go(func() { s.follow(ctx, w) })
	for i, step := range steps {
		s.begin(step.at, step.title)
		step.do(s, w, i+1)
	}
	const quiet = 30 * time.Second
	s.begin(steps[len(steps)-1].at+time.Minute+quiet, "review")
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

// TestSilentConnectionsOnBothHops: every open connection of callers, entry VMs and upstreams goes silent at once.
// No idempotent request is left unknown.
func TestSilentConnectionsOnBothHops(t *testing.T) {
	t.Parallel()
	d, err := loadDeployment("sohar")
	if err != nil {
		t.Fatal(err)
	}
	var tallies map[steering.OperationName]*tally
	var summary *Summary
	synctest.Test(t, func(t *testing.T) { tallies, summary = silentSession(t, d) })
	if s := summary; s.DoubleRuns > 0 || s.FalseNotRun > 0 || s.WrongAnswers > 0 {
		t.Errorf("%d ran twice, %d told not-run although they ran, %d wrong answers", s.DoubleRuns, s.FalseNotRun, s.WrongAnswers)
	}
	for _, s := range d.config.Services {
		for _, op := range s.Operations {
			if !op.Idempotent {
				continue
			}
			t.Run(string(op.Name), func(t *testing.T) {
				if n := tallies[op.Name].unknown; n > 0 {
					t.Errorf("%d of %d unknown", n, tallies[op.Name].requests)
				}
			})
		}
	}
}

// silentSession loads a deployment and silences every connection a third into the load.
func silentSession(t *testing.T, d *deployment) (map[steering.OperationName]*tally, *Summary) {
	broken, err := findFaults([]string{"silent-connections"})
	if err != nil {
		t.Fatal(err)
	}
	w := startVirtual(t, d.name)
	tallies := w.load(context.Background(), broken)
	w.stop()
	time.Sleep(time.Minute) // what is under way ends
	return tallies, w.summarize(tallies)
}
