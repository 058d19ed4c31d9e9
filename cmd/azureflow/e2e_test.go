package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/azureflow/azureflow/internal/admin"
	"github.com/azureflow/azureflow/internal/standin"
	"github.com/azureflow/azureflow/internal/vm"
)

// patience bounds every wait for a state that must come; it is no measurement.
const patience = 60 * time.Second

// system is the whole path in separate processes on addresses of its own.
type system struct {
	t        *testing.T
	binary   string
	dir      string
	net      string // first two octets of the loopback addresses
	platform string // URL
	entries  []*entryProcess
	servers  []*process

	platformProcess *process
}

type process struct {
	name    string
	address string
	cmd     *exec.Cmd
	exited  chan struct{}
	log     *lockedBuffer
}

type entryProcess struct {
	process
	zone, region string
	admin, peer  string
}

// lockedBuffer is a bytes.Buffer for several goroutines.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// sevenZones places today's 7 entry VMs.
var sevenZones = []string{"batinah-a", "batinah-a", "batinah-b", "muscat-a", "muscat-b", "dhofar-a", "dhofar-b"}

func regionOfZone(zone string) string {
	return strings.TrimSuffix(strings.TrimSuffix(zone, "-a"), "-b")
}

func newSystem(t *testing.T) *system {
	t.Helper()
	s := &system{t: t, dir: t.TempDir()}
	s.net = fmt.Sprintf("127.%d", 20+os.Getpid()%200)
	s.binary = filepath.Join(s.dir, "azureflow")
	build := exec.Command("go", "build", "-o", s.binary, ".")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	platform := s.net + ".0.1:8090"
	s.platform = "http://" + platform
	s.platformProcess = s.start("platform", platform, "standin", "platform", "--listen", platform, "--vm-lag", "200ms")
	s.await("platform", func() error { return s.get(s.platform+"/v1/vms", nil) })
	return s
}

// start runs the binary and ends it with the test.
func (s *system) start(name, address string, args ...string) *process {
	s.t.Helper()
	p := &process{name: name, address: address, exited: make(chan struct{}), log: &lockedBuffer{}}
	p.cmd = exec.Command(s.binary, args...)
	p.cmd.Stdout = p.log
	p.cmd.Stderr = p.log
	if err := p.cmd.Start(); err != nil {
		s.t.Fatalf("start %s: %v", name, err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	s.t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.exited
		if s.t.Failed() {
			s.t.Logf("--- %s\n%s", name, p.log)
		}
	})
	return p
}

func (s *system) startUpstreams(service string, perZone, slots int) {
	for i, zone := range []string{"batinah-a", "batinah-b", "muscat-a", "muscat-b", "dhofar-a", "dhofar-b"} {
		for j := range perZone {
			name := fmt.Sprintf("%s-%s-%d", service, zone, j)
			address := fmt.Sprintf("%s.%d.%d:%d", s.net, 100+i, 1+j, 8000+len(service))
			p := s.start(name, address, "standin", "upstream", "--listen", address, "--name", name, "--service", service,
				"--region", regionOfZone(zone), "--zone", zone, "--slots", fmt.Sprint(slots), "--platform", s.platform)
			s.servers = append(s.servers, p)
		}
	}
}

func (s *system) startEntries() {
	for i, zone := range sevenZones {
		e := &entryProcess{zone: zone, region: regionOfZone(zone)}
		ip := fmt.Sprintf("%s.1.%d", s.net, 1+i)
		e.name = fmt.Sprintf("entry-%d", i+1)
		e.address, e.peer, e.admin = ip+":8080", ip+":8081", ip+":8082"
		s.register(vm.VM{
			Name: vm.Name(e.name), Kind: vm.KindEntry, Region: "", Zone: "", Address: e.address, PeerAddress: e.peer,
			AdminAddress: e.admin, State: vm.StateLive,
		}, e)
		s.runEntry(e)
		s.entries = append(s.entries, e)
	}
}

func (s *system) runEntry(e *entryProcess) {
	settings := filepath.Join(s.dir, e.name+".jsonc")
	text := fmt.Sprintf(`{
		"deployment": "sohar",
		"vm": {"name": %q, "region": %q, "zone": %q},
		"listen": {"requests": %q, "peer": %q, "admin": %q},
		"platform": {"store": %q, "vm_list": %q}, // the stand-in serves both
	}`, e.name, e.region, e.zone, e.address, e.peer, e.admin, s.platform, s.platform)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	e.process = *s.start(e.name, e.address, "entry", "--settings", settings)
}

func (s *system) register(row vm.VM, e *entryProcess) {
	s.t.Helper()
	body, err := json.Marshal(map[string]any{
		"name": row.Name, "kind": row.Kind, "region": e.region, "zone": e.zone, "address": row.Address,
		"peer_address": row.PeerAddress, "admin_address": row.AdminAddress, "state": row.State, "since": time.Now(),
	})
	if err != nil {
		s.t.Fatal(err)
	}
	req, _ := http.NewRequest(http.MethodPut, s.platform+"/operator/vms/"+string(row.Name), bytes.NewReader(body))
	answer, err := http.DefaultClient.Do(req)
	if err != nil || answer.StatusCode >= 300 {
		s.t.Fatalf("register %s: %v %v", row.Name, err, answer)
	}
	_ = answer.Body.Close()
}

func (s *system) get(url string, v any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	answer, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", url, answer.Status)
	}
	if v == nil {
		return nil
	}
	return json.NewDecoder(answer.Body).Decode(v)
}

// await waits until check succeeds.
func (s *system) await(what string, check func() error) {
	s.t.Helper()
	deadline := time.Now().Add(patience)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			s.t.Fatalf("%s: %v", what, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// run runs a command of the binary and returns what it printed and its exit code.
func (s *system) run(args ...string) (stdout, stderr string, code int) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	cmd := exec.CommandContext(ctx, s.binary, args...)
	var out, problems bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &problems
	err := cmd.Run()
	if err != nil && cmd.ProcessState == nil {
		s.t.Fatalf("%v: %v", args, err)
	}
	return out.String(), problems.String(), cmd.ProcessState.ExitCode()
}

// call sends one request by the command and returns what it reports.
func (s *system) call(entry string, args ...string) callReport {
	s.t.Helper()
	all := append([]string{"call", "--format", "json", "--entry", entry}, args...)
	out, problems, _ := s.run(all...)
	var r callReport
	if err := json.Unmarshal([]byte(out), &r); err != nil {
		s.t.Fatalf("%v: %v\n%s\n%s", args, err, out, problems)
	}
	return r
}

// ledgers reads what every upstream really ran. A dead one is skipped.
func (s *system) ledgers() []standin.Ledger {
	var all []standin.Ledger
	for _, p := range s.servers {
		var l standin.Ledger
		if err := s.get("http://"+p.address+"/ledger", &l); err == nil {
			all = append(all, l)
		}
	}
	return all
}

// runs counts how often a key was started on any upstream that lives.
func (s *system) runs(key string) int {
	n := 0
	for _, l := range s.ledgers() {
		n += l.Starts(key)
	}
	return n
}

// startSystem runs the whole path in 21 processes, with the example published and every entry VM ready.
func startSystem(t *testing.T) *system {
	t.Helper()
	if testing.Short() {
		t.Skip("starts 21 processes")
	}
	s := newSystem(t)
	s.startUpstreams("certdesk", 1, 5)
	s.startUpstreams("stampbook", 1, 3)
	s.startEntries()
	out, problems, code := s.run("publish", s.patientExample(), "--store", s.platform, "--wait", "30s")
	if code != exitDone {
		t.Fatalf("publish: exit %d\n%s%s", code, out, problems)
	}
	for _, e := range s.entries {
		s.await(e.name+" ready", func() error { return s.get("http://"+e.admin+"/readyz", nil) })
		s.await(e.name+" knows the upstreams", func() error { return s.knowsUpstreams(e) })
	}
	return s
}

// TestWholePathInSeparateProcesses publishes steering files to the platform stand-in, serves requests
// through 7 entry VMs and kills one of them and one upstream in the middle of requests.
func TestWholePathInSeparateProcesses(t *testing.T) {
	s := startSystem(t)

	first := s.call(s.entries[0].address, "certdesk", "/certificates/7", "--origin", "batinah")
	if first.Outcome != "done" || first.Body == "" || first.Decision == "" {
		t.Fatalf("first call: %+v", first)
	}
	story, problems, code := s.run("explain", first.Decision, "--admin", s.entries[3].admin)
	if code != exitDone || !strings.Contains(story, first.Decision) {
		t.Fatalf("explain from another entry VM: exit %d\n%s%s", code, story, problems)
	}

	t.Run("entry VM killed", func(t *testing.T) { killEntryMidRequest(t, s) })
	t.Run("upstream killed", func(t *testing.T) { killUpstreamMidRequest(t, s) })
	t.Run("planned stop", func(t *testing.T) { stopEntryMidRequest(t, s) })
}

// knowsUpstreams returns nil once an entry VM has read a VM list with all upstreams.
func (s *system) knowsUpstreams(e *entryProcess) error {
	var page admin.Page[admin.UpstreamRow]
	if err := s.get("http://"+e.admin+"/v1/upstreams", &page); err != nil {
		return err
	}
	if len(page.Items) < len(s.servers) {
		return io.ErrNoProgress
	}
	return nil
}

// patientExample copies the example of Sohar with deadlines so long that a slow machine meets them.
func (s *system) patientExample() string {
	s.t.Helper()
	const from = "../../examples/sohar"
	to := filepath.Join(s.dir, "sohar")
	if err := os.CopyFS(to, os.DirFS(from)); err != nil {
		s.t.Fatal(err)
	}
	file := filepath.Join(to, "stampbook", "stampbook.steering.jsonc")
	text, err := os.ReadFile(file)
	if err != nil {
		s.t.Fatal(err)
	}
	deadline := regexp.MustCompile(`"deadline": "[^"]*"`)
	patient := deadline.ReplaceAll(text, []byte(`"deadline": "30s"`))
	if err := os.WriteFile(file, patient, 0o600); err != nil {
		s.t.Fatal(err)
	}
	return to
}

// slowStamp sends a stamp that runs for a while and reports its key and outcome.
func slowStamp(s *system, entry, origin, key string, ms int) callReport {
	return s.call(entry, "stampbook", "/stamps", "--method", "POST", "--data", "x", "--origin", origin,
		"--key", key, "--first", "--timeout", "30s", "--header", fmt.Sprintf("Standin-Service-Ms: %d", ms))
}

// lookup returns the names of the entry VMs that callers of origin should use, best first.
func (s *system) lookup(entry, service, origin string) []string {
	s.t.Helper()
	out, problems, _ := s.run("lookup", service, "--format", "json", "--entry", entry, "--origin", origin)
	var answer struct{ Entries []struct{ Name string } }
	if err := json.Unmarshal([]byte(out), &answer); err != nil {
		s.t.Fatalf("lookup: %v\n%s\n%s", err, out, problems)
	}
	var names []string
	for _, e := range answer.Entries {
		names = append(names, e.Name)
	}
	return names
}

// serves returns the entry VM that callers of origin send stamps to.
func (s *system) serves(origin string) *entryProcess {
	s.t.Helper()
	best := s.lookup(s.entries[0].address, "stampbook", origin)[0]
	for _, e := range s.entries {
		if e.name == best {
			return e
		}
	}
	s.t.Fatalf("no process for entry VM %s", best)
	return nil
}

func killEntryMidRequest(t *testing.T, s *system) {
	const key = "stamp-entry-kill"
	victim := s.serves("muscat")
	done := make(chan callReport)
	go func() { done <- slowStamp(s, victim.address, "muscat", key, 20000) }()
	s.await("stamp started", func() error {
		if s.runs(key) == 0 {
			return io.ErrNoProgress
		}
		return nil
	})
	_ = victim.cmd.Process.Signal(syscall.SIGKILL)
	report := <-done
	if report.Outcome == "not-run" {
		t.Errorf("told not-run, but it ran: %+v", report)
	}
	if n := s.runs(key); n != 1 {
		t.Errorf("ran %d times", n)
	}
	s.await("lookups stop naming the dead entry VM", func() error {
		names := s.lookup(s.entries[0].address, "stampbook", "muscat")
		if len(names) == 0 || names[0] == victim.name {
			return io.ErrNoProgress
		}
		return nil
	})
	if r := s.call(s.entries[0].address, "certdesk", "/certificates/8", "--origin", "muscat"); r.Outcome != "done" {
		t.Errorf("after the kill: %+v", r)
	}
}

func killUpstreamMidRequest(t *testing.T, s *system) {
	const key = "stamp-upstream-kill"
	done := make(chan callReport)
	go func() { done <- slowStamp(s, s.entries[0].address, "batinah", key, 20000) }()
	var victim *process
	s.await("stamp started", func() error {
		for _, p := range s.servers {
			var l standin.Ledger
			if err := s.get("http://"+p.address+"/ledger", &l); err == nil && l.Starts(key) > 0 {
				victim = p
				return nil
			}
		}
		return io.ErrNoProgress
	})
	_ = victim.cmd.Process.Signal(syscall.SIGKILL)
	if report := <-done; report.Outcome != "unknown" {
		t.Errorf("its server died in the middle: %+v", report)
	}
	if n := s.runs(key); n != 0 {
		t.Errorf("ran again on another server %d times", n)
	}
}

func stopEntryMidRequest(t *testing.T, s *system) {
	const key = "stamp-planned-stop"
	leaving := s.serves("dhofar")
	done := make(chan callReport)
	go func() { done <- slowStamp(s, leaving.address, "dhofar", key, 3000) }()
	s.await("stamp started", func() error {
		if s.runs(key) == 0 {
			return io.ErrNoProgress
		}
		return nil
	})
	_ = leaving.cmd.Process.Signal(syscall.SIGTERM)
	if report := <-done; report.Outcome != "done" {
		t.Errorf("a planned stop cut a request in flight: %+v", report)
	}
	if n := s.runs(key); n != 1 {
		t.Errorf("ran %d times", n)
	}
	select {
	case <-leaving.exited:
	case <-time.After(patience):
		t.Errorf("%s did not end after its drain", leaving.name)
	}
}
