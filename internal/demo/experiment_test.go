package demo

import (
	"context"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

var (
	measure      = flag.String("measure", "", "experiment to run in virtual time, or all")
	measureSeeds = flag.Int("measure-seeds", 5, "seeds of an experiment")
)

// startVirtual brings a deployment up in virtual time.
func startVirtual(t *testing.T, name string) *world {
	t.Helper()
	d, err := loadDeployment(name)
	if err != nil {
		t.Fatal(err)
	}
	w, err := startWorld(context.Background(), Options{Deployment: name}.withDefaults(), d, newMemory())
	if err != nil {
		t.Fatal(err)
	}
	return w
}

// runVirtual runs a deployment in virtual time, as Run does in real time.
func runVirtual(t *testing.T) Runner {
	return func(ctx context.Context, opts Options) (*Summary, error) {
		var summary *Summary
		var err error
		synctest.Test(t, func(t *testing.T) {
			summary, err = runOn(context.Background(), opts.withDefaults(), newMemory())
			time.Sleep(time.Minute) // idle connections end within the bubble
		})
		return summary, err
	}
}

// TestExperiment measures with -measure and rewrites the tables and plots of docs/measurements;
// without, it checks the promises in one short run of each experiment.
func TestExperiment(t *testing.T) {
	for i := range Experiments {
		e := &Experiments[i]
		t.Run(e.Name, func(t *testing.T) {
			t.Parallel()
			if *measure == "all" || *measure == e.Name {
				writeMeasurement(t, e)
				return
			}
			checkPromises(t, e)
		})
	}
}

func checkPromises(t *testing.T, e *Experiment) {
	const linkLimit = 0.9
	m, err := e.Measure(t.Context(), Options{Duration: time.Second}, 1, runVirtual(t))
	if err != nil {
		t.Fatal(err)
	}
	for i, runs := range m.Runs {
		if broken := runs[0].broken(); broken != 0 {
			t.Errorf("%s: %d promises broken", e.Variants[i].Name, broken)
		}
		if busiest := runs[0].busiestLink(); busiest > linkLimit {
			t.Errorf("%s: a link carried %.3f of its rate", e.Variants[i].Name, busiest)
		}
	}
	var svg strings.Builder
	if err := m.WriteSVG(&svg); err != nil || !strings.Contains(svg.String(), "</svg>") {
		t.Errorf("plot: %v", err)
	}
}

func writeMeasurement(t *testing.T, e *Experiment) {
	m, err := e.Measure(t.Context(), Options{Duration: 10 * time.Second}, *measureSeeds, runVirtual(t))
	if err != nil {
		t.Fatal(err)
	}
	var table, svg strings.Builder
	if err := m.WriteText(&table); err != nil {
		t.Fatal(err)
	}
	if err := m.WriteSVG(&svg); err != nil {
		t.Fatal(err)
	}
	folder := filepath.Join("..", "..", "docs", "measurements")
	for name, text := range map[string]string{".txt": table.String(), ".svg": svg.String()} {
		if err := os.WriteFile(filepath.Join(folder, e.Name+name), []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	t.Log("\n" + table.String())
}
