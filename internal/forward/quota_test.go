package forward

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/azureflow/azureflow/internal/routing"
)

// fakeQuotas has a number of permissions.
type fakeQuotas struct {
	left     int
	returned []routing.AccountName
	expiry   time.Time
}

func (q *fakeQuotas) Take(context.Context, *routing.Account) (time.Time, bool, time.Duration) {
	if q.left == 0 {
		return time.Time{}, false, 1500 * time.Millisecond
	}
	q.left--
	return q.expiry, true, 0
}

func (q *fakeQuotas) Return(account *routing.Account, _ time.Time) {
	q.returned = append(q.returned, account.Name)
}

// withQuotas adds client accounts to env, the one of deskKey with a limit, and a number of permissions.
func withQuotas(env *testEnv, permissions int) *fakeQuotas {
	env.table = routing.NewTable(&routing.Config{
		Version: 2, Routes: testRoutes(), Limits: routing.Limits{BodyBytes: 1 << 21},
		Accounts: []routing.Account{
			{Name: accountName, Keys: []string{deskKey}, Rate: 1}, {Name: "open", Keys: []string{farKey}},
		},
	})
	q := &fakeQuotas{left: permissions, expiry: time.Now().Add(time.Second)}
	env.handler.opts.Quotas = q
	return q
}

func requestWithKey(key string) *http.Request {
	r := newRequest("POST", "/unsafe/x", "sent")
	r.Header.Set("Authorization", "Bearer "+key)
	return r
}

func TestRequestOverTheQuotaIsRefusedWithoutASending(t *testing.T) {
	withTestEnv(t, []script{respondOK}, func(t *testing.T, env *testEnv) {
		q := withQuotas(env, 1)
		for i, want := range []int{http.StatusOK, http.StatusTooManyRequests} {
			resp, _ := env.serve(requestWithKey(deskKey))
			if resp.Code != want {
				t.Errorf("request %d: status %d, want %d", i, resp.Code, want)
			}
			if want == http.StatusTooManyRequests {
				if got := resp.Header().Get("Retry-After"); got != "1.500" {
					t.Errorf("Retry-After %q, want 1.500", got)
				}
				if !strings.Contains(resp.Header().Get("Content-Type"), "problem+json") || strings.Contains(resp.Body.String(), deskKey) {
					t.Errorf("body %q of type %q", resp.Body, resp.Header().Get("Content-Type"))
				}
			}
		}
		if resp, _ := env.serve(requestWithKey(farKey)); resp.Code != http.StatusOK {
			t.Errorf("account without a limit: status %d", resp.Code)
		}
		if n := env.servers[0].requestCount(); n != 2 {
			t.Errorf("the server got %d requests, want 2", n)
		}
		if last := env.finished[1]; last.Reason != ReasonOverQuota || last.Account != accountName {
			t.Errorf("reported %+v", last)
		}
		if len(q.returned) > 0 {
			t.Errorf("permissions of requests that ran were returned: %v", q.returned)
		}
	})
}

func TestPermissionOfARequestThatRanNowhereIsReturned(t *testing.T) {
	for _, test := range []struct {
		name   string
		script script
		refuse bool
		want   int
	}{
		{"no connection", respondOK, true, 1},
		{"server refuses", respondRaw("HTTP/1.1 503 Unavailable\r\nTest-Id: ID\r\nTest-Signature: s\r\nTest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"), false, 1},
		{"may have run", respondAndClose(""), false, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			withTestEnv(t, []script{test.script}, func(t *testing.T, env *testEnv) {
				q := withQuotas(env, 1)
				env.servers[0].refuseDials = test.refuse
				env.serve(requestWithKey(deskKey))
				if len(q.returned) != test.want {
					t.Errorf("%d permissions were returned, want %d", len(q.returned), test.want)
				}
			})
		})
	}
}

// A request that may have run is sent again only with a permission of its own.
func TestRetryTakesAPermission(t *testing.T) {
	for permissions, want := range map[int]int{1: http.StatusBadGateway, 2: http.StatusOK} {
		withTestEnv(t, []script{respondAndClose(""), respondOK}, func(t *testing.T, env *testEnv) {
			withQuotas(env, permissions)
			r := newRequest("GET", "/safe/x", "")
			r.Header.Set("Authorization", "Bearer "+deskKey)
			if resp, _ := env.serve(r); resp.Code != want {
				t.Errorf("with %d permissions: status %d, want %d", permissions, resp.Code, want)
			}
		})
	}
}
