package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/azureflow/azureflow/internal/gateway"
	"github.com/azureflow/azureflow/internal/load"
	"github.com/azureflow/azureflow/platform/platformtest"
)

// gatewaySystem is gateways in separate processes before the stand-in of the users' platform, which runs in the
// process of the test like the servers.
type gatewaySystem struct {
	*system
	store    *platformtest.Store
	address  string // of the store
	gateways []*process
	paths    sync.Map      // path to *atomic.Int64: requests that reached servers
	release  chan struct{} // lets requests to /held/ end
	held     chan struct{} // one for each request to /held/ that a server has
}

// gatewaySettings is the platform's settings file of one entry VM.
const gatewaySettings = `
[self]
node_name = "%[1]s"
serves = ["edge","directory"]
ip = "%[2]s"
zone = "north-a"
region = "north"
[network]
internal_port_range = [7200,7215]
[network.listen]
frontend = "%[2]s:8381"
readiness = "%[2]s:8388"
directory = "%[2]s:8383"
[network.zones]
north-a = "north"
[platform.platform]
address = "%[3]s"
[terms.bounds]
drain_ms = 2500
grace_s = 6
retry_budget_ratio = 0.2
budget_slack = 64
ttl_max_s = 5
max_shift = 0.15
`

// gatewayConfig is an operator's configuration with one route to a service.
const gatewayConfig = `{"version":"r%d","routes":{"columns":["name","host","prefix","route_type","timeout_ms",
"target_latency_ms","priority","service","max_attempts"],"rows":[["all","desk.example","/","unsafe",5000,400,1,"%s",1]]},
"services":{"columns":["name"],"rows":[["one"],["two"]]},"limits":{}}`

func startGateways(t *testing.T, n int) *gatewaySystem {
	t.Helper()
	s := &gatewaySystem{
		system: newSystem(t), store: platformtest.NewStore(), release: make(chan struct{}), held: make(chan struct{}, 8),
	}
	s.address = s.net + ".9.100:8384"
	s.listen(s.address, s.store.Handler())
	for _, service := range []string{"one", "two"} {
		s.startServer(service)
	}
	s.store.Put("servers/stranger", []byte("not an entry"))
	s.store.Put("op/config", fmt.Appendf(nil, gatewayConfig, 3, "one"))
	for i := range n {
		name, ip := fmt.Sprintf("entry-%d", i+1), fmt.Sprintf("%s.9.%d", s.net, i+1)
		path := filepath.Join(s.dir, name+".toml")
		if err := os.WriteFile(path, fmt.Appendf(nil, gatewaySettings, name, ip, s.address), 0o600); err != nil {
			t.Fatal(err)
		}
		s.gateways = append(s.gateways, s.start(name, ip, "gateway", "--settings", path))
	}
	for _, g := range s.gateways {
		s.await(g.name, func() error { return s.ready(g) })
	}
	return s
}

func (s *gatewaySystem) listen(address string, h http.Handler) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		s.t.Fatal(err)
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	s.t.Cleanup(func() { _ = server.Close() })
}

// startServer starts a server of a service and registers it. It answers with the service's name.
func (s *gatewaySystem) startServer(service string) {
	address := fmt.Sprintf("%s.9.%d:80", s.net, 50+len(service)+int(service[0])%50)
	s.listen(address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		count, _ := s.paths.LoadOrStore(r.URL.Path, new(atomic.Int64))
		count.(*atomic.Int64).Add(1)
		if strings.HasPrefix(r.URL.Path, "/held/") {
			s.held <- struct{}{}
			<-s.release
		}
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Response-Signature", "sig")
		_, _ = io.WriteString(w, service)
	}))
	s.store.Put("servers/i-"+service, fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":"north-a","slots":6,"state":"ready","cold_remaining_ms":0,"version":"v1","seq":1,"born":1}`, service, address))
}

// arrived returns how many requests for a path reached servers.
func (s *gatewaySystem) arrived(path string) int64 {
	count, ok := s.paths.Load(path)
	if !ok {
		return 0
	}
	return count.(*atomic.Int64).Load()
}

// notReadyError reports an entry VM that does not answer as wanted yet.
type notReadyError struct{ got string }

func (e *notReadyError) Error() string { return "got " + e.got }

func (s *gatewaySystem) ready(g *process) error {
	resp, err := http.Get("http://" + g.address + ":8388/azureflow/ready")
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &notReadyError{got: resp.Status}
	}
	return nil
}

// askOn sends a request on a connection to an entry VM and returns status and body.
func (s *gatewaySystem) askOn(c net.Conn, g *process, path string) (int, string, error) {
	req, err := s.request(g, path)
	if err != nil {
		return 0, "", err
	}
	if err := req.Write(c); err != nil {
		return 0, "", err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// request builds a caller's request to an entry VM.
func (s *gatewaySystem) request(g *process, path string) (*http.Request, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+g.address+":8381"+path, strings.NewReader("sent"))
	if err != nil {
		return nil, err
	}
	req.Host = "desk.example"
	req.Header.Set("X-Request-Id", "id-"+path)
	req.Header.Set("X-Deadline-Ms", "60000")
	return req, nil
}

// ask sends a request to an entry VM and returns status and body.
func (s *gatewaySystem) ask(g *process, path string) (int, string, error) {
	req, err := s.request(g, path)
	if err != nil {
		return 0, "", err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// resolve returns the entry VMs that the directory of g names.
func (s *gatewaySystem) resolve(g *process) ([]string, error) {
	resp, err := http.Get("http://" + g.address + ":8383/azureflow/resolve?name=desk.example&region=north&zone=north-a")
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	return answer.Addresses, json.NewDecoder(resp.Body).Decode(&answer)
}

func (s *gatewaySystem) awaitResolve(g *process, want ...string) {
	s.t.Helper()
	s.await("directory", func() error {
		got, err := s.resolve(g)
		if err == nil && !slices.Equal(got, want) {
			return &notReadyError{got: fmt.Sprint(got)}
		}
		return err
	})
}

func (s *gatewaySystem) awaitAnswer(g *process, path, want string) {
	s.t.Helper()
	s.await(path, func() error {
		status, body, err := s.ask(g, path)
		if err == nil && (status != http.StatusOK || body != want) {
			return &notReadyError{got: fmt.Sprint(status, body)}
		}
		return err
	})
}

// checkStatus checks what the command says of the gateways.
func (s *gatewaySystem) checkStatus(version uint64) {
	s.t.Helper()
	var addresses []string
	for _, g := range s.gateways {
		addresses = append(addresses, g.address+":9464")
	}
	out, problems, code := s.run("status", "--format", "json", "--gateway", strings.Join(addresses, ","))
	var all []gatewayStatus
	if err := json.Unmarshal([]byte(out), &all); err != nil || code != exitDone {
		s.t.Fatalf("status ended with %d, %v: %s", code, err, problems)
	}
	if len(all) != len(s.gateways) {
		s.t.Fatalf("status of %d entry VMs, want %d", len(all), len(s.gateways))
	}
	for _, g := range all {
		if g.Version != version || g.Routes != (gatewayRoutes{Answered: 1}) || g.Services["two"].Warm == 0 || g.Services["two"].Answered == 0 {
			s.t.Errorf("status of %s: %+v", g.Address, g)
		}
	}
}

// checkWhere checks what a gateway says of a request to path, which no server must get.
func (s *gatewaySystem) checkWhere(g *process, path string) {
	s.t.Helper()
	out, problems, code := s.run("where", "--gateway", g.address+":9464", "--host", "desk.example", "--path", path, "--json")
	var a gateway.Where
	if err := json.Unmarshal([]byte(out), &a); err != nil || code != exitDone {
		s.t.Fatalf("where ended with %d, %v: %s", code, err, problems)
	}
	if a.Route != "all" || a.Kind != "unsafe" || a.Verdict != "sent" || len(a.Candidates) == 0 || !a.Candidates[0].Chosen {
		s.t.Errorf("where: %+v", a)
	}
	if n := s.arrived(path); n != 0 {
		s.t.Errorf("%d requests arrived at servers", n)
	}
	if status, body, err := s.ask(g, gateway.WherePath); err == nil && strings.Contains(body, "candidates") {
		s.t.Errorf("callers get %d %s from %s", status, body, gateway.WherePath)
	}
}

// checkLoad sends load to where the directory of g says.
func (s *gatewaySystem) checkLoad(g *process) {
	s.t.Helper()
	out, problems, code := s.run("load", "desk.example", "/load", "--directory", g.address+":8383", "--origin", "north",
		"--zone", "north-a", "--rate", "50", "--duration", "500ms", "--format", "json")
	var r load.Result
	if err := json.Unmarshal([]byte(out), &r); err != nil || code != exitDone {
		s.t.Fatalf("load ended with %d, %v: %s", code, err, problems)
	}
	if r.Entry.Requests == 0 || r.Entry.Failed > 0 || s.arrived("/load") != int64(r.Entry.Requests) {
		s.t.Errorf("load: %+v, %d arrived at servers", r.Entry, s.arrived("/load"))
	}
}

// The whole path on the users' platform: registration, directory, requests, a change of configuration, SIGHUP, and
// a planned stop under which a request is answered whole.
func TestGatewaysOnThePlatform(t *testing.T) {
	s := startGateways(t, 2)
	one, two := s.gateways[0], s.gateways[1]
	s.awaitResolve(two, one.address+":8381", two.address+":8381")
	s.awaitAnswer(one, "/x", "one")

	s.store.Put("op/config", fmt.Appendf(nil, gatewayConfig, 5, "two"))
	s.awaitAnswer(one, "/y", "two")
	s.awaitAnswer(two, "/y", "two")
	s.store.Put("op/config", fmt.Appendf(nil, gatewayConfig, 4, "one"))

	changed := fmt.Sprintf(gatewaySettings, one.name, one.address, s.address) + "config_apply_ms = 2400\n"
	if err := os.WriteFile(filepath.Join(s.dir, one.name+".toml"), []byte(changed), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := one.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	s.await("reload", func() error {
		if !strings.Contains(one.log.String(), "settings reloaded") {
			return &notReadyError{got: "no reload"}
		}
		return nil
	})
	s.awaitAnswer(one, "/z", "two") // still there, and never back to the lower version
	s.checkStatus(5)
	s.checkWhere(s.gateways[0], "/where-only")
	s.checkLoad(two)

	type result struct {
		status int
		body   string
		err    error
	}
	idle, err := net.Dial("tcp", one.address+":8381")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = idle.Close() }()
	if status, _, err := s.askOn(idle, one, "/early"); status != http.StatusOK {
		t.Fatalf("status %d, %v", status, err)
	}
	results := make(chan result, 1)
	go func() {
		status, body, err := s.ask(one, "/held/x")
		results <- result{status, body, err}
	}()
	<-s.held
	if err := one.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	s.awaitResolve(two, two.address+":8381")
	// What comes once no new connection is taken, on a connection that was open but unused, is passed on to no
	// server: it could not end before the kill.
	s.await("closed listener", func() error {
		c, err := net.Dial("tcp", one.address+":8381")
		if err == nil {
			_ = c.Close()
			return &notReadyError{got: "a connection"}
		}
		return nil
	})
	if status, _, err := s.askOn(idle, one, "/late"); err == nil && status != http.StatusServiceUnavailable {
		t.Errorf("a late request got %d, want the promise that it did not run, or a closed connection", status)
	}
	if n := s.arrived("/late"); n != 0 {
		t.Errorf("%d late requests were passed on", n)
	}
	close(s.release)
	if r := <-results; r.status != http.StatusOK || r.body != "two" || r.err != nil {
		t.Errorf("the request in flight ended with %+v", r)
	}
	select {
	case <-one.exited:
	case <-time.After(patience):
		t.Error("the stopped entry VM still runs")
	}
	if !strings.Contains(one.log.String(), "event=stopped") {
		t.Errorf("the stop is not in the log:\n%s", one.log)
	}
}
