package steering_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/azureflow/azureflow/internal/steering"
)

const examples = "../../examples"

func TestExamplesHaveNoFaults(t *testing.T) {
	for _, deployment := range []string{"sohar", "zollbrugg"} {
		tree, report := steering.LoadTree([]string{filepath.Join(examples, deployment)})
		for _, f := range report.Faults {
			t.Error(f.Error())
		}
		for _, w := range report.Warnings {
			t.Log(w.Warning())
		}
		c := tree.Configuration()
		if len(c.Services) != 3 || len(c.Platform.Regions) != 3 || len(c.Platform.Links) != 6 {
			t.Errorf("%s: %d services, %d regions, %d links", deployment, len(c.Services), len(c.Platform.Regions), len(c.Platform.Links))
		}
		settings, _ := filepath.Glob(filepath.Join(examples, deployment, "settings", "*.jsonc"))
		for _, file := range settings {
			if _, err := steering.LoadSettings(file); err != nil {
				t.Error(err)
			}
		}
	}
}

// writeTree writes files, name and content in turn, and returns their directory.
func writeTree(t testing.TB, files ...string) string {
	t.Helper()
	dir := t.TempDir()
	for i := 0; i < len(files); i += 2 {
		path := filepath.Join(dir, files[i])
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(files[i+1]), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

const testPlatform = `{
  "deployment": "test",
  "regions": [{"name": "north", "zones": ["north-a"]}, {"name": "south", "zones": ["south-a"]}],
  "links": [{"from": "north", "to": "south", "both_ways": true, "capacity_mbit_s": 100, "delay": "40ms"}],
  "teams": [{"name": "red", "services": ["alpha"]}, {"name": "blue", "services": ["beta"]}],
}`

const testService = `{
  "service": "alpha",
  "team": "red",
  "operations": [{"name": "get", "method": "GET", "path": "/x/{id}", "idempotent": true, "class": "interactive"}],
  "regions": [{"region": "north", "weight": 1}, {"region": "south", "weight": 1}],
}`

func TestEveryFaultInOneRun(t *testing.T) {
	dir := writeTree(t, "platform.jsonc", testPlatform,
		"alpha/alpha.steering.jsonc", `{
  "service": "alpha",
  "team": "blue", // owned by red
  "operations": [
    {"name": "get", "method": "FETCH", "path": "x", "idempotent": "yes", "class": "urgent"},
    {"name": "get", "method": "GET", "path": "/x", "idempotent": true, "class": "bulk", "deadline": "5", "color": 1},
  ],
  "regions": [{"region": "east", "weight": -1}],
  "regions": [],
  "floor": {"share": 1.5},
  "drains": [{"start": "tomorrow"}],
}`,
		"beta/beta.steering.jsonc", `{"service": "beta",`)
	_, report := steering.LoadTree([]string{dir})
	want := []string{
		`alpha/alpha.steering.jsonc:3:11: team: found team "blue" for service "alpha"; allowed: "red", which owns the service by the platform file`,
		`alpha/alpha.steering.jsonc:5:31: operations[0].method: found "FETCH"; allowed: one of GET, HEAD, POST, PUT, PATCH, DELETE`,
		`alpha/alpha.steering.jsonc:5:48: operations[0].path: found "x"; allowed: a path such as "/scans/{id}"`,
		`alpha/alpha.steering.jsonc:5:67: operations[0].idempotent: found "yes"; allowed: true or false`,
		`alpha/alpha.steering.jsonc:5:83: operations[0].class: found "urgent"; allowed: one of interactive, bulk, deferrable`,
		`alpha/alpha.steering.jsonc:6:14: operations[1].name: found operation "get" a second time; allowed: each once`,
		`alpha/alpha.steering.jsonc:6:101: operations[1].deadline: found "5"; allowed: a duration such as "250ms"`,
		`alpha/alpha.steering.jsonc:6:106: operations[1]: found unknown key "color"; allowed: one of name, method, path, idempotent, class, deadline, expected_bytes, peak_requests_s, service_time`,
		`alpha/alpha.steering.jsonc:8:14: regions: found no region with a weight above 0; allowed: at least one`,
		`alpha/alpha.steering.jsonc:8:26: regions[0].region: found unknown region "east"; allowed: one of north, south`,
		`alpha/alpha.steering.jsonc:8:44: regions[0].weight: found -1; allowed: 0 to 1e+06`,
		`alpha/alpha.steering.jsonc:9:3: regions: found the key a second time; allowed: each key once`,
		`alpha/alpha.steering.jsonc:10:22: floor.share: found 1.5; allowed: 0 to 1`,
		`alpha/alpha.steering.jsonc:11:14: drains[0]: found not one of region and zone; allowed: either region or zone`,
		`alpha/alpha.steering.jsonc:11:24: drains[0].start: found "tomorrow"; allowed: a time such as "2030-01-31T22:00:00Z"`,
		`beta/beta.steering.jsonc:1:20: found parsing value: unexpected EOF; allowed: JSON with comments and trailing commas`,
	}
	var got []string
	for _, f := range report.Faults {
		got = append(got, strings.TrimPrefix(f.Error(), dir+"/"))
	}
	if g, w := strings.Join(got, "\n"), strings.Join(want, "\n"); g != w {
		t.Errorf("got\n%s\nwant\n%s", g, w)
	}
}

func TestDefaultsApply(t *testing.T) {
	dir := writeTree(t, "platform.jsonc", testPlatform, "alpha.steering.jsonc", testService)
	tree, report := steering.LoadTree([]string{dir})
	if err := report.Err(); err != nil {
		t.Fatal(err)
	}
	s := tree.Configuration().ServiceByName("alpha")
	want := steering.DefaultService()
	if s.ShiftCap != want.ShiftCap || s.Floor != want.Floor || s.Budgets != want.Budgets {
		t.Errorf("got %+v", s)
	}
	if d := s.Operations[0].Deadline.Std(); d != time.Second {
		t.Errorf("deadline %v", d)
	}
}

func TestWarnings(t *testing.T) {
	dir := writeTree(t, "platform.jsonc", testPlatform, "alpha.steering.jsonc", `{
  "service": "alpha",
  "team": "red",
  "operations": [
    {"name": "get", "method": "GET", "path": "/x", "idempotent": true, "class": "interactive", "deadline": "50ms",
     "expected_bytes": 1000000, "peak_requests_s": 100, "service_time": "20ms"},
  ],
  "regions": [{"region": "north", "weight": 1, "slots": 1}, {"region": "south", "weight": 1, "slots": 1}],
  "shift_cap": {"share": 0.01, "window": "10s"},
}`)
	_, report := steering.LoadTree([]string{dir})
	if err := report.Err(); err != nil {
		t.Fatal(err)
	}
	var text []string
	for _, w := range report.Warnings {
		text = append(text, w.Warning())
	}
	all := strings.Join(text, "\n")
	for _, want := range []string{
		"a request takes at least 100ms",
		"its 50% take 8m20s to move",
		"without region north there are 1",
		"400 Mbit/s of expected traffic would go that way",
		`no steering file of service "beta"`,
	} {
		if !strings.Contains(all, want) {
			t.Errorf("no warning with %q in\n%s", want, all)
		}
	}
}

func TestSettings(t *testing.T) {
	dir := writeTree(t, "bad.jsonc", `{"deployment": "test", "vm": {"name": "A", "region": "r", "zone": "z"},
  "listen": {"requests": "localhost:1", "peer": "127.0.0.1:2", "admin": "127.0.0.1:3"},
  "platform": {"store": "ftp://x", "vm_list": "http://127.0.0.1:9"},
  "limits": {"queue_per_service": 1.5, "silent_after": "1h"}, "extra": null}`)
	_, err := steering.LoadSettings(filepath.Join(dir, "bad.jsonc"))
	faults, ok := err.(*steering.FaultsError)
	if !ok || len(faults.Faults) != 6 {
		t.Fatalf("got %v", err)
	}
	text := steering.DefaultSettings()
	text.Admin.Token = "secret"
	if strings.Contains(text.Text(), "secret") {
		t.Error("the token is shown")
	}
}
