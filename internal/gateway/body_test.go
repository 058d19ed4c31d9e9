package gateway

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azureflow/azureflow/internal/routing"
)

// stalledBodies are requests whose bodies stop arriving.
var stalledBodies = map[string]string{
	"with a length": "POST /x/ HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 10\r\n\r\nabc",
	"in chunks":     "POST /x/ HTTP/1.1\r\nHost: desk.example\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
	"not started":   "POST /x/ HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 10\r\n\r\n",
}

const bodyTimeout = 2 * time.Second

// bodyTable has one route, with a timeout, to a service without servers.
func bodyTable(timeout time.Duration) *routing.Table {
	return routing.NewTable(&routing.Config{Version: 1, Routes: []routing.Route{{
		Name: "x", Host: "desk.example", Prefix: "/x/", Kind: routing.KindUpload, Timeout: timeout, MaxAttempts: 1,
		Destinations: []routing.Destination{{Service: "desk", Weight: 1}},
	}}})
}

// sendText sends text on a new connection and returns the status of the response and the time until it; the status is 0
// if there was none.
func sendText(vm *testVM, text string) (status int, after time.Duration) {
	startedAt := time.Now()
	c := vm.dial()
	defer c.Close()
	_ = c.SetReadDeadline(startedAt.Add(time.Minute))
	go func() { _, _ = c.Write([]byte(text)) }()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, time.Since(startedAt)
	}
	return resp.StatusCode, time.Since(startedAt)
}

// A caller that stops in the middle of a body must not hold its connection and its request forever: the route's timeout
// ends the wait, and the caller learns that the request did not run.
func TestStalledBodyIsRefusedAtTheTimeout(t *testing.T) {
	for name, text := range stalledBodies {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				vm := newTestVM(bodyTable(bodyTimeout))
				defer vm.requestServer.Close()
				status, after := sendText(vm, text)
				if status != http.StatusRequestTimeout || after > bodyTimeout {
					t.Errorf("status %d after %v, want 408 within %v", status, after, bodyTimeout)
				}
			})
		})
	}
}

// A stalled body does not delay the refusal of its request for long.
func TestStalledBodyDoesNotDelayARefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		vm := newTestVM(bodyTable(bodyTimeout))
		defer vm.requestServer.Close()
		status, after := sendText(vm, strings.ReplaceAll(stalledBodies["with a length"], "/x/", "/none/"))
		const maxWait = time.Second
		if status != http.StatusNotFound || after > maxWait {
			t.Errorf("status %d after %v, want 404 within %v", status, after, maxWait)
		}
	})
}

// The time limit of a body that arrives in time must not cut off later requests: the next request on the connection is
// served long after.
func TestConnectionIsUsableAfterABody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		vm := newTestVM(bodyTable(bodyTimeout))
		defer vm.requestServer.Close()
		c := vm.dial()
		defer c.Close()
		reader := bufio.NewReader(c)
		for i := range 3 {
			time.Sleep(2 * bodyTimeout)
			go func() { _, _ = c.Write([]byte(stalledBodies["with a length"] + "defghij")) }()
			resp, err := http.ReadResponse(reader, nil)
			if err != nil || resp.StatusCode != http.StatusServiceUnavailable { // the service has no server
				t.Fatalf("request %d: response %v, error %v, want status 503", i, resp, err)
			}
		}
	})
}

// The stop does not wait for stalled bodies.
func TestStalledBodyIsRefusedByTheStop(t *testing.T) {
	for name, text := range stalledBodies {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				vm := newStoppingVMWith(bodyTable(time.Minute))
				time.Sleep(stopRefuseAfter / 2)
				status, _ := sendText(vm.testVM, text)
				if status != http.StatusServiceUnavailable {
					t.Errorf("status %d, want 503", status)
				}
				<-vm.ended
				if took, maxStop := time.Since(vm.stopStartedAt), testSettings("one").Bounds.Grace; took > maxStop {
					t.Errorf("the stop took %v, want at most the grace period of %v", took, maxStop)
				}
			})
		})
	}
}
