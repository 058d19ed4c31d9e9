package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"

	"github.com/azureflow/azureflow/internal/forward"
	"github.com/azureflow/azureflow/internal/httpserver"
	"github.com/azureflow/azureflow/internal/kv"
	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/pipenet"
	"github.com/azureflow/azureflow/internal/placement"
)

// secretMark is part of every key in these tests.
const secretMark = "secret"

// output collects bytes of several writers.
type output struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.data.Write(p)
}

func (o *output) text() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.data.String()
}

// checkNoKey reports each line of text that has a key.
func checkNoKey(t *testing.T, where, text string) {
	t.Helper()
	for line := range strings.Lines(text) {
		if strings.Contains(line, secretMark) {
			t.Errorf("%s: a key in %q", where, line)
		}
	}
}

// serveRecorded is a server that writes the requests that it gets to got and responds with a failure.
func serveRecorded(c net.Conn, got io.Writer) {
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_ = r.Write(got)
		fmt.Fprintf(c, "HTTP/1.1 500 Internal Server Error\r\nTest-Id: %s\r\nTest-Signature: s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Test-Id"))
	}
}

// keyedRequests are heads of requests with keys, well formed and not.
var keyedRequests = []string{
	"GET /x HTTP/1.1\r\nHost: desk.example\r\nTest-Id: 1\r\nAuthorization: Bearer " + keptKey + "\r\n\r\n",
	"GET /x HTTP/1.1\r\nHost: desk.example\r\nTest-Id: 2\r\nauthorization: bearer " + keptKey + "\r\ntest-account: forged\r\n\r\n",
	"GET /open/x HTTP/1.1\r\nHost: desk.example\r\nTest-Id: 3\r\nAuthorization: Bearer " + keptKey + "\r\n\r\n",
	"GET /x HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer unknown-secret\r\n\r\n",
	"GET /x HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Basic secret\r\n\r\n",
	"GET /x HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer " + keptKey + "\r\nAuthorization: Bearer secret\r\n\r\n",
	"GET /x HTTP/1.1\r\nHost: desk.example\r\nAuthorization Bearer secret\r\n\r\n",
	"GET /x HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer secret\r\n folded-secret\r\n\r\n",
	"GET /x HTTP/9.9\r\nHost: desk.example\r\nAuthorization: Bearer secret\r\n\r\n",
	"POST /open/x HTTP/1.1\r\nHost: desk.example\r\nTest-Id: 4\r\nTransfer-Encoding: chunked\r\nTrailer: Authorization\r\n\r\n" +
		"1\r\nx\r\n0\r\nAuthorization: Bearer " + keptKey + "\r\n\r\n",
}

// Keys are in no log line, no metric, no response and no request to a server, whether they are good, unknown, malformed,
// unconfirmed, or in a configuration that cannot be decoded. Peers get them in the copy of the configuration only.
func TestKeysAreInNoOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines, sent, responses output
		log := logrus.New()
		log.SetLevel(logrus.TraceLevel)
		log.SetOutput(&lines)
		registry := prometheus.NewRegistry()
		metrics := NewMetrics(registry)
		store := newFakeStore()
		store.putJSON("operator/config", fakeConfig{Version: 1, Keys: []string{keptKey, withdrawnKey}})
		store.putJSON("server/a", fakeServer{Zone: "north-a", Born: 1})
		settings := testSettings("one")
		settings.Bounds.Revoke = revokeBound
		chooser := placement.NewChooser(settings.placementOptions())
		f := newFollower(newCountedStore(store, metrics, log), testCatalog(), chooser, settings, log, metrics)
		ctx, cancel := context.WithCancel(context.Background())
		go f.watchOperator(ctx)
		go f.pollOperator(ctx)
		go f.pollServers(ctx)
		p := newPresence(store, settings, chooser, log)

		pool := forward.NewPool(func(context.Context, string) (net.Conn, error) {
			clientSide, serverSide := net.Pipe()
			go serveRecorded(serverSide, &sent)
			return clientSide, nil
		})
		handler := forward.NewHandler(forward.Options{
			Headers: secrecyHeaders, Table: f.Table, Chooser: chooser, Pool: pool, Journal: newJournal(log, metrics),
			Region: "north", KeysConfirmed: f.keysConfirmed,
		})
		registry.MustRegister(newStateCollector(f, p, chooser, handler))
		listener := pipenet.Listen("vm:80")
		server := httpserver.New(listener, httpserver.Options{Handler: handler, RunsAhead: handler.IsIdempotent, Log: log})
		go func() { _ = server.Serve() }()
		sendAll := func() {
			for _, request := range keyedRequests {
				c, err := listener.Dial(ctx)
				if err != nil {
					t.Fatal(err)
				}
				go func() { _, _ = io.WriteString(c, request) }()
				_ = c.SetReadDeadline(time.Now().Add(time.Second))
				_, _ = io.Copy(&responses, c)
				_ = c.Close()
			}
		}

		time.Sleep(2 * time.Second)
		sendAll()
		store.putJSON("operator/config", fakeConfig{Version: 2, Keys: []string{keptKey}})
		time.Sleep(2 * time.Second)
		sendAll()
		store.writeEntry(kv.Entry{Key: "operator/config", Value: []byte(`{"Version":"secret","Keys":["undecoded-secret"]}`)})
		time.Sleep(2 * time.Second)
		store.setError(unavailable)
		time.Sleep(2 * revokeBound)
		sendAll()
		page := httptest.NewRecorder()
		promhttp.HandlerFor(registry, promhttp.HandlerOpts{}).ServeHTTP(page, httptest.NewRequest("GET", "/metrics", nil))
		sharing := newSharing(f, p, settings, log, peer.NewPool(nil), metrics)
		reply, err := sharing.FetchStore(ctx, &peer.FetchStoreRequest{})
		if err != nil {
			t.Fatal(err)
		}
		cancel()
		server.Close()
		pool.CloseExpired(time.Now().Add(time.Hour))
		time.Sleep(time.Minute)
		synctest.Wait()

		checkNoKey(t, "log", lines.text())
		checkNoKey(t, "metrics", page.Body.String())
		checkNoKey(t, "request to a server", sent.text())
		checkNoKey(t, "response", responses.text())
		for _, e := range reply.GetOperator().GetEntries() {
			e.Value = nil // the operator's configuration, which peers need
		}
		checkNoKey(t, "peer", reply.String())
		for where, want := range map[string]string{ // that the parts above took part
			lines.text(): "keys unconfirmed", page.Body.String(): `outcome="unknown-key"`, sent.text(): "Test-Account: desk", responses.text(): "401",
		} {
			if !strings.Contains(where, want) {
				t.Errorf("%q is missing", want)
			}
		}
	})
}

// secrecyHeaders are header names used only in tests.
var secrecyHeaders = forward.Headers{
	RequestID: "Test-Id", Deadline: "Test-Deadline", AffinityCookie: "object", Signature: "Test-Signature", ExpectServer: "Test-Expect",
	Load: "Test-Load", NotRun: "Test-Not-Run", Server: "Test-Server", Cold: "Test-Cold", Leaving: "Test-Leaving", Account: "Test-Account",
	ParseLoad:    func(string) (placement.Load, bool) { return placement.Load{}, false },
	ParseCold:    func(string) (time.Duration, bool) { return 0, false },
	ParseLeaving: func(string) bool { return false },
}
