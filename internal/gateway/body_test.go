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

// stalledBodies are requests whose bodies stop coming.
var stalledBodies = map[string]string{
	"with a length": "POST /x/ HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 10\r\n\r\nabc",
	"in chunks":     "POST /x/ HTTP/1.1\r\nHost: desk.example\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
	"not begun":     "POST /x/ HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 10\r\n\r\n",
}

const bodyTimeout = 2 * time.Second

// bodyTable has a route with a timeout, to a service without servers.
func bodyTable(timeout time.Duration) *routing.Table {
	return routing.NewTable(&routing.Config{Version: 1, Routes: []routing.Route{{
		Name: "x", Host: "desk.example", Prefix: "/x/", Kind: routing.KindUpload, Timeout: timeout, MaxAttempts: 1,
		Destinations: []routing.Destination{{Service: "desk", Weight: 1}},
	}}})
}

// answerTo sends text on a new connection and returns the answer and when it came; the status is 0 if there was none.
func answerTo(vm *testVM, text string) (status int, after time.Duration) {
	begun := time.Now()
	c := vm.dial()
	defer c.Close()
	_ = c.SetReadDeadline(begun.Add(time.Minute))
	go func() { _, _ = c.Write([]byte(text)) }()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, time.Since(begun)
	}
	return resp.StatusCode, time.Since(begun)
}

// A caller that stopped in the middle of a body held its connection and its request for ever. The route's timeout
// ends the wait, and the caller learns that the request did not run.
func TestBodyThatStopsComingIsRefusedAtTheTimeout(t *testing.T) {
	for name, text := range stalledBodies {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				vm := newTestVM(bodyTable(bodyTimeout))
				defer vm.requests.Close()
				status, after := answerTo(vm, text)
				if status != http.StatusRequestTimeout || after > bodyTimeout {
					t.Errorf("status %d after %v, want 408 within %v", status, after, bodyTimeout)
				}
			})
		})
	}
}

// A body that nobody wants does not hold its refusal up for long.
func TestBodyOfARefusedRequestStopsComing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		vm := newTestVM(bodyTable(bodyTimeout))
		defer vm.requests.Close()
		status, after := answerTo(vm, strings.ReplaceAll(stalledBodies["with a length"], "/x/", "/none/"))
		const most = time.Second
		if status != http.StatusNotFound || after > most {
			t.Errorf("status %d after %v, want 404 within %v", status, after, most)
		}
	})
}

// A caller that comes in time is not cut off later: the next request on its connection is served long after.
func TestConnectionIsUsableAfterABody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		vm := newTestVM(bodyTable(bodyTimeout))
		defer vm.requests.Close()
		c := vm.dial()
		defer c.Close()
		reader := bufio.NewReader(c)
		for i := range 3 {
			time.Sleep(2 * bodyTimeout)
			go func() { _, _ = c.Write([]byte(stalledBodies["with a length"] + "defghij")) }()
			resp, err := http.ReadResponse(reader, nil)
			if err != nil || resp.StatusCode != http.StatusServiceUnavailable { // there is no server
				t.Fatalf("request %d: %v, %v", i, resp, err)
			}
		}
	})
}

// The stop does not wait for bodies that do not come.
func TestBodyThatStopsComingIsAnsweredByTheStop(t *testing.T) {
	for name, text := range stalledBodies {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				vm := newStoppingVMWith(bodyTable(time.Minute))
				time.Sleep(stopAccept / 2)
				status, _ := answerTo(vm.testVM, text)
				if status != http.StatusServiceUnavailable {
					t.Errorf("status %d, want 503", status)
				}
				<-vm.ended
				if took, most := time.Since(vm.began), testSettings("one").Bounds.Grace; took > most {
					t.Errorf("the stop took %v, the grace time is %v", took, most)
				}
			})
		})
	}
}
