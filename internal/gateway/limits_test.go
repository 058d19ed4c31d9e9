package gateway

import (
	"bytes"
	"net"
	"runtime/debug"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/azureflow/azureflow/internal/httpserver"
	"github.com/azureflow/azureflow/internal/memory"
	"github.com/azureflow/azureflow/internal/pipenet"
	"github.com/azureflow/azureflow/internal/routing"
)

// Without the limits of the VM in its settings, nothing is limited as before.
func TestNoLimitsWithoutSettings(t *testing.T) {
	s := &Settings{}
	heapLimit := debug.SetMemoryLimit(-1)
	applyMemoryLimit(s)
	if s.maxCallerConns() != 0 || s.maxPeerConns() != 0 || debug.SetMemoryLimit(-1) != heapLimit {
		t.Error("limits without settings")
	}
	l := pipenet.Listen("peer:80")
	if limitConns(l, s.maxPeerConns(), nil) != net.Listener(l) {
		t.Error("a limited listener without a limit")
	}
	limits, err := provideLimits(s, nil, prometheus.NewRegistry())
	if err != nil || limits.OpenConns() != 0 {
		t.Errorf("%v, %d connections", err, limits.OpenConns())
	}
}

// Idle connections leave memory for requests, also on the smallest VM.
func TestConnectionsLeaveMemoryForRequests(t *testing.T) {
	for _, bytes := range []int64{136_000_000, 284_000_000, 804_000_000} {
		s := &Settings{Memory: bytes, MaxSockets: 3900}
		used, capacity := int64(s.maxCallerConns())*httpserver.ConnBytes, memory.CapacityFor(bytes)
		if used == 0 || used > capacity*3/4 {
			t.Errorf("VM of %d bytes: connections may take %d of %d", bytes, used, capacity)
		}
	}
	if (&Settings{Memory: 136_000_000}).maxCallerConns() <= 0 {
		t.Error("any number of connections on a VM whose descriptors are unknown")
	}
}

func TestCallerLimitsFollowTheConfiguration(t *testing.T) {
	d := &daemon{follower: &follower{}}
	if got := d.callerLimits(); got != (httpserver.CallerLimits{}) {
		t.Errorf("%+v without a configuration", got)
	}
	d.follower.table.Store(routing.NewTable(&routing.Config{Version: 1}))
	if got := d.callerLimits(); got != (httpserver.CallerLimits{}) {
		t.Errorf("%+v where the configuration sets none", got)
	}
	d.follower.table.Store(routing.NewTable(&routing.Config{Version: 2, Limits: routing.Limits{
		HeaderBytes: 16384, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
	}}))
	got := d.callerLimits()
	if got.HeadBytes < 16384 || got.HeadTimeout < 3*time.Second || got.IdleTimeout != 15*time.Second {
		t.Errorf("%+v, want no less than the operator allows", got)
	}
}

func TestSilentPeersMakeRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		raw := pipenet.Listen("peer:80")
		closed := 0
		l := limitConns(raw, 2, func(httpserver.Reason, string) { closed++ })
		open := func() (near, far net.Conn) {
			go func() { near, _ = raw.Dial(t.Context()) }()
			far, err := l.Accept()
			synctest.Wait()
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
			return near, far
		}
		caller, active := open()
		_, silent := open()
		go func() { _, _ = caller.Write([]byte("x")) }()
		if _, err := active.Read(make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
		_, last := open()
		if _, err := silent.Write([]byte("x")); err == nil || closed != 1 {
			t.Errorf("%d closed, want the connection that sent nothing", closed)
		}
		go func() { _, _ = caller.Write([]byte("x")) }()
		if _, err := active.Read(make([]byte, 1)); err != nil {
			t.Error("a connection in use was closed")
		}
		_, _, _ = active.Close(), last.Close(), raw.Close()
	})
}

func TestClosuresAreCountedAndLoggedOnceASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		log := logrus.New()
		log.SetOutput(&out)
		registry := prometheus.NewRegistry()
		c := newClosures(NewMetrics(registry), log)
		for range 50 {
			c.record(httpserver.ReasonIdle, "10.0.0.1:1234")
		}
		time.Sleep(closureLogInterval)
		c.record(httpserver.ReasonIdle, "10.0.0.1:1234")
		families, err := registry.Gather()
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range families {
			if n := f.GetMetric()[0].GetCounter().GetValue(); f.GetName() == "azureflow_gateway_caller_closures_total" && n != 51 {
				t.Errorf("%v counted, want 51", n)
			}
		}
		if lines := out.String(); strings.Count(lines, "\n") != 2 || !strings.Contains(lines, "count=50") {
			t.Errorf("logged\n%s", lines)
		}
	})
}
