package forward

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azureflow/azureflow/internal/placement"
	"github.com/azureflow/azureflow/internal/routing"
	"github.com/azureflow/azureflow/internal/steering"
)

// admissionTable returns a table with an urgent route, a less urgent one, and with a download route if ordered is true,
// so that requests without room wait in order.
func admissionTable(ordered bool) *routing.Table {
	routes := testRoutes()
	for i := range routes {
		routes[i].TargetLatency, routes[i].Timeout = 2*time.Second, 10*time.Second
	}
	routes[1].Priority = 1
	if ordered {
		routes[2].Kind = routing.KindDownload
	}
	return routing.NewTable(&routing.Config{Version: 1, Routes: routes, Limits: routing.Limits{BodyBytes: 1 << 21}})
}

const (
	urgentPath     = "/safe/x"
	lessUrgentPath = "/unsafe/x"
	admissionHold  = 250 * time.Millisecond // holdShare of the target
)

// respondAfter responds with success after d.
func respondAfter(d time.Duration) script {
	return func(s *fakeServer, r *http.Request, w io.Writer) {
		time.Sleep(d)
		respondOK(s, r, w)
	}
}

// withFullServer runs test while the only server, which takes took for a request, has as many urgent requests that
// less urgent ones must wait.
func withFullServer(t *testing.T, ordered bool, took time.Duration, test func(t *testing.T, env *testEnv)) {
	withTestEnv(t, []script{respondAfter(took)}, func(t *testing.T, env *testEnv) {
		env.table = admissionTable(ordered)
		for range 9 { // 6 slots, and a queue of half of the target latency
			go env.serve(newRequest("GET", urgentPath, ""))
		}
		synctest.Wait()
		test(t, env)
		time.Sleep(time.Minute)
	})
}

// serveAsync serves a less urgent request and returns where its response will be, and how long that took.
func (env *testEnv) serveAsync(ctx context.Context) <-chan *timedResponse {
	responses := make(chan *timedResponse, 1)
	go func() {
		start := time.Now()
		r, aborted := env.serve(newRequest("POST", lessUrgentPath, "sent").WithContext(ctx))
		responses <- &timedResponse{ResponseRecorder: r, took: time.Since(start), aborted: aborted}
	}()
	synctest.Wait()
	return responses
}

type timedResponse struct {
	*httptest.ResponseRecorder
	took    time.Duration
	aborted bool
}

func (env *testEnv) lastFinished() *FinishedRequest {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.finished[len(env.finished)-1]
}

// Earlier deployments, whose configuration does not distinguish callers, are served in the order of arrival.
func TestNothingWaitsWithoutAccountsAndDownloads(t *testing.T) {
	withFullServer(t, false, time.Second, func(t *testing.T, env *testEnv) {
		responses := env.serveAsync(t.Context())
		if env.handler.Waiting() != 0 || env.servers[0].requestCount() != 10 {
			t.Errorf("%d wait, %d were sent; want none, all", env.handler.Waiting(), env.servers[0].requestCount())
		}
		if resp := <-responses; resp.Code != 200 {
			t.Errorf("status %d", resp.Code)
		}
		if f := env.lastFinished(); f.OrdersAdmission || f.Admission != (AdmissionReport{}) {
			t.Errorf("reported as ordered: %+v", f)
		}
	})
}

// A waiting request gets the room of one that ends.
func TestWaitingRequestGetsRoomThatComesFree(t *testing.T) {
	const took = 100 * time.Millisecond
	withFullServer(t, true, took, func(t *testing.T, env *testEnv) {
		responses := env.serveAsync(t.Context())
		if env.handler.Waiting() != 1 || env.servers[0].requestCount() != 9 {
			t.Fatalf("%d wait, %d were sent; want 1, 9", env.handler.Waiting(), env.servers[0].requestCount())
		}
		if resp := <-responses; resp.Code != 200 || resp.took != 2*took {
			t.Errorf("status %d after %v, want 200 after %v", resp.Code, resp.took, 2*took)
		}
		if f := env.lastFinished(); f.Admission.Waited != took || f.Priority != 1 {
			t.Errorf("reported %+v", f)
		}
	})
}

// What finds no room in its time to wait is refused, long before its deadline, with a time at which to return.
func TestWaitingRequestWithoutRoomIsRefusedEarly(t *testing.T) {
	withFullServer(t, true, 5*time.Second, func(t *testing.T, env *testEnv) {
		resp := <-env.serveAsync(t.Context())
		after, err := strconv.ParseFloat(resp.Header().Get("Retry-After"), 64)
		if resp.Code != 503 || resp.took != admissionHold || err != nil || after < 0.1 {
			t.Errorf("status %d after %v, Retry-After %v; want 503 after %v", resp.Code, resp.took, after, admissionHold)
		}
		if f := env.lastFinished(); f.Refusal == nil || f.Refusal.Basis != placement.BasisOrder || f.Attempts != 0 {
			t.Errorf("reported %+v", f)
		}
	})
}

// An urgent request takes the place of a less urgent one when the queue is full. That one is refused at once, with a
// time at which to return.
func TestUrgentRequestDisplacesLessUrgentOne(t *testing.T) {
	withFullServer(t, true, 5*time.Second, func(t *testing.T, env *testEnv) {
		const limit = 512 // of the waiting requests of a service
		for range limit {
			env.serveAsync(t.Context())
		}
		if n := env.handler.Waiting(); n != limit {
			t.Fatalf("%d wait", n)
		}
		urgent := newRequest("GET", urgentPath, "")
		urgent.Header.Set("Test-Deadline", "9000")
		go env.serve(urgent)
		synctest.Wait()
		env.mu.Lock()
		defer env.mu.Unlock()
		if n := env.handler.Waiting(); n != limit || len(env.finished) != 1 {
			t.Fatalf("%d wait and %d were refused, want one refused for the urgent one", n, len(env.finished))
		}
		if f := env.finished[0]; f.Status != 503 || f.Priority != 1 || !f.Admission.Displaced || f.Took != 0 || f.Refusal.RetryAfter <= 0 {
			t.Errorf("reported %+v", f)
		}
	})
}

// A wait ends at once, and nothing is sent to a server, if the caller leaves, the process stops or the servers are gone.
func TestWaitEndsAtOnce(t *testing.T) {
	for _, test := range []struct {
		name   string
		end    func(env *testEnv, leave context.CancelFunc)
		within time.Duration
		reason Reason
		status int
	}{
		{"caller leaves", func(_ *testEnv, leave context.CancelFunc) { leave() }, 0, ReasonCallerDisconnected, 0},
		{"process stops", func(env *testEnv, _ context.CancelFunc) { env.handler.RefuseNewRequests() }, 0, ReasonStopping, 503},
		{"servers are gone", func(env *testEnv, _ context.CancelFunc) {
			env.handler.opts.Chooser.SetMembership(&placement.Membership{})
		}, offerInterval, Reason(placement.ReasonNoServer), 503},
	} {
		t.Run(test.name, func(t *testing.T) {
			withFullServer(t, true, 5*time.Second, func(t *testing.T, env *testEnv) {
				ctx, leave := context.WithCancel(t.Context())
				defer leave()
				responses := env.serveAsync(ctx)
				test.end(env, leave)
				resp := <-responses
				last := env.lastFinished()
				if last.Priority != 1 || last.Reason != test.reason || last.Status != test.status || resp.took > test.within {
					t.Errorf("%+v after %v, want %s within %v", last, resp.took, test.reason, test.within)
				}
				if (test.status == 0) != resp.aborted || env.handler.Waiting() != 0 || env.servers[0].requestCount() != 9 {
					t.Errorf("aborted %v, %d wait, %d sent", resp.aborted, env.handler.Waiting(), env.servers[0].requestCount())
				}
			})
		})
	}
}

// Requests that may only run where there is no room do not keep others from room elsewhere.
func TestBlockedRequestsLeaveRoomToOthers(t *testing.T) {
	scripts := []script{respondAfter(time.Second), respondAfter(100 * time.Millisecond)}
	withTestEnv(t, scripts, func(t *testing.T, env *testEnv) {
		routes := testRoutes()
		for i := range routes {
			routes[i].TargetLatency, routes[i].Timeout = 2*time.Second, 10*time.Second
		}
		routes[0].AllowedRegions, routes[1].Priority = []steering.RegionName{"near"}, 1
		routes[2].Kind = routing.KindDownload // so that requests without room wait in order
		env.table = routing.NewTable(&routing.Config{Version: 1, Routes: routes})
		env.serve(newRequest("GET", urgentPath, "")) // whose time is known then
		for range 24 {                               // more than the near server has room for
			go env.serve(newRequest("GET", urgentPath, ""))
		}
		synctest.Wait()
		if env.handler.Waiting() < 2 {
			t.Fatalf("%d wait", env.handler.Waiting())
		}
		var responses []<-chan *timedResponse
		for range 24 { // more than the far one has room for
			responses = append(responses, env.serveAsync(t.Context()))
		}
		served := 0
		for _, r := range responses {
			if resp := <-r; resp.Code == 200 {
				served++
			}
		}
		if served < 2*7 {
			t.Errorf("%d served, want those that find room at first, and as many once these ended", served)
		}
		time.Sleep(time.Minute)
	})
}
