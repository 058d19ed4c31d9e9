package forward

import (
	"net/http"
	"strings"
	"testing"

	"github.com/azureflow/azureflow/internal/routing"
	"github.com/azureflow/azureflow/internal/steering"
)

const (
	deskKey     = "desk-secret"
	deskKey2    = "desk-second-secret"
	farKey      = "far-secret"
	unknownKey  = "never-issued-secret"
	accountName = "desk"
)

// withAccounts adds client accounts to the configuration of env: one without limits, and one whose home is the region
// of the second server.
func withAccounts(env *testEnv) {
	routes := testRoutes()
	open := routes[0]
	open.Name, open.Prefix, open.AllowAnonymous = "open", "/open/", true
	near := routes[0]
	near.Name, near.Prefix, near.AllowedRegions = "near", "/near/", []steering.RegionName{"near"}
	env.table = routing.NewTable(&routing.Config{
		Version: 2, Routes: append(routes, open, near), Limits: routing.Limits{BodyBytes: 1 << 21},
		Accounts: []routing.Account{
			{Name: accountName, Keys: []string{deskKey, deskKey2}},
			{Name: "far", Keys: []string{farKey}, AllowedRegions: []steering.RegionName{"far"}},
		},
	})
}

func TestKeysIdentifyClientAccounts(t *testing.T) {
	for _, test := range []struct {
		name, path, authorization string
		status                    int
		account                   string // name that a server gets
	}{
		{"key", "/safe/x", "Bearer " + deskKey, 200, accountName},
		{"another key of the account", "/unsafe/x", "bearer " + deskKey2, 200, accountName},
		{"no key", "/safe/x", "", 401, ""},
		{"unknown key", "/safe/x", "Bearer " + unknownKey, 401, ""},
		{"part of a key", "/safe/x", "Bearer " + deskKey[:5], 401, ""},
		{"another scheme", "/safe/x", "Basic " + deskKey, 401, ""},
		{"empty key", "/open/x", "Bearer ", 401, ""},
		{"anonymous", "/open/x", "", 200, ""},
		{"anonymous with a key", "/open/x", "Bearer " + deskKey, 200, accountName},
		{"anonymous with an unknown key", "/open/x", "Bearer " + unknownKey, 401, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			withTestEnv(t, []script{respondOK, respondOK}, func(t *testing.T, env *testEnv) {
				withAccounts(env)
				r := newRequest("POST", test.path, "sent")
				r.Header.Set("Test-Account", "forged")
				if test.authorization != "" {
					r.Header.Set("Authorization", test.authorization)
				}
				resp, _ := env.serve(r)
				if resp.Code != test.status {
					t.Fatalf("status %d, want %d", resp.Code, test.status)
				}
				if test.status == http.StatusUnauthorized {
					want := ReasonUnknownKey
					if test.authorization == "" {
						want = ReasonNoKey
					}
					if got := env.finished[0].Reason; got != want {
						t.Errorf("reason %s, want %s", got, want)
					}
					if n := env.servers[0].requestCount() + env.servers[1].requestCount(); n != 0 {
						t.Errorf("%d requests reached servers", n)
					}
					if resp.Header().Get("Content-Type") != "application/problem+json" || resp.Header().Get("Www-Authenticate") == "" {
						t.Errorf("headers %v", resp.Header())
					}
					if strings.Contains(resp.Body.String(), "secret") {
						t.Errorf("body %q has a key", resp.Body)
					}
					return
				}
				header := env.servers[0].requests[0].Header
				if header.Get("Test-Account") != test.account || header["Authorization"] != nil {
					t.Errorf("a server got %v", header)
				}
			})
		})
	}
}

func TestHomesOfClientAccountsBind(t *testing.T) {
	withTestEnv(t, []script{respondOK, respondOK}, func(t *testing.T, env *testEnv) {
		withAccounts(env)
		r := newRequest("GET", "/safe/x", "")
		r.Header.Set("Authorization", "Bearer "+farKey)
		resp, _ := env.serve(r)
		if near, far := env.servers[0].requestCount(), env.servers[1].requestCount(); resp.Code != 200 || near != 0 || far != 1 {
			t.Errorf("status %d, %d requests in the near region and %d in the home", resp.Code, near, far)
		}
	})
}

// A server in the home that turns requests away, fails or is gone makes no server elsewhere get them, and homes of route
// and account that have no region in common leave no server at all.
func TestHomesOfClientAccountsBindOnRetries(t *testing.T) {
	failure := respondRaw("HTTP/1.1 500 Internal Server Error\r\nTest-Id: ID\r\nTest-Signature: s\r\nContent-Length: 0\r\n\r\n")
	for _, test := range []struct {
		name     string
		home     script
		gone     bool
		path     string
		requests int // that reach the server in the home
	}{
		{"turned away", respondRaw(shedResponse), false, "/safe/x", 1},
		{"turned away, unsafe", respondRaw(shedResponse), false, "/unsafe/x", 1},
		{"failed", failure, false, "/safe/x", 1},
		{"gone", respondOK, true, "/safe/x", 0},
		{"no common home", respondOK, false, "/near/x", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			withTestEnv(t, []script{respondOK, test.home}, func(t *testing.T, env *testEnv) {
				withAccounts(env)
				env.servers[1].refuseDials = test.gone
				r := newRequest("GET", test.path, "")
				r.Header.Set("Authorization", "Bearer "+farKey)
				resp, _ := env.serve(r)
				if near, home := env.servers[0].requestCount(), env.servers[1].requestCount(); near != 0 || home != test.requests {
					t.Errorf("%d requests outside the home, %d in it", near, home)
				}
				if resp.Code < http.StatusInternalServerError {
					t.Errorf("status %d", resp.Code)
				}
			})
		})
	}
}

// A configuration that comes while the confirmation is checked is the one whose keys are confirmed.
func TestKeysAreThoseOfTheConfirmedTable(t *testing.T) {
	withTestEnv(t, []script{respondOK}, func(t *testing.T, env *testEnv) {
		withAccounts(env)
		env.handler.opts.KeysConfirmed = func() bool {
			env.table = routing.NewTable(&routing.Config{Version: 3, Routes: testRoutes(), RequiresKeys: true})
			return true
		}
		r := newRequest("GET", "/safe/x", "")
		r.Header.Set("Authorization", "Bearer "+deskKey)
		if resp, _ := env.serve(r); resp.Code != http.StatusUnauthorized || env.servers[0].requestCount() != 0 {
			t.Errorf("status %d, %d requests ran by a key that the configuration in force lacks", resp.Code, env.servers[0].requestCount())
		}
	})
}

// A caller cannot have the account's name removed by naming its header as one of the connection.
func TestConnectionHeaderDoesNotRemoveTheAccount(t *testing.T) {
	withTestEnv(t, []script{respondOK}, func(t *testing.T, env *testEnv) {
		withAccounts(env)
		r := newRequest("GET", "/safe/x", "")
		r.Header.Set("Authorization", "Bearer "+deskKey)
		r.Header.Set("Connection", "Test-Account, Authorization")
		r.Header["Test-Account"] = []string{"forged", "twice"}
		resp, _ := env.serve(r)
		header := env.servers[0].requests[0].Header
		if resp.Code != 200 || len(header["Test-Account"]) != 1 || header.Get("Test-Account") != accountName || header["Authorization"] != nil {
			t.Errorf("status %d, a server got %v", resp.Code, header)
		}
	})
}

// Without client accounts in the configuration, headers are passed on as the caller sent them.
func TestWithoutClientAccountsHeadersArePassedOn(t *testing.T) {
	withTestEnv(t, []script{respondOK}, func(t *testing.T, env *testEnv) {
		r := newRequest("GET", "/safe/x", "")
		r.Header.Set("Authorization", "Bearer "+unknownKey)
		r.Header.Set("Test-Account", "from the caller")
		resp, _ := env.serve(r)
		header := env.servers[0].requests[0].Header
		if resp.Code != 200 || header.Get("Authorization") != "Bearer "+unknownKey || header.Get("Test-Account") != "from the caller" {
			t.Errorf("status %d, a server got %v", resp.Code, header)
		}
	})
}

// A key that may have been withdrawn meanwhile runs nothing, and the refusal says so truthfully.
func TestUnconfirmedKeysRunNothing(t *testing.T) {
	withTestEnv(t, []script{respondOK, respondOK}, func(t *testing.T, env *testEnv) {
		withAccounts(env)
		confirmed := false
		env.handler.opts.KeysConfirmed = func() bool { return confirmed }
		for _, key := range []string{deskKey, unknownKey} {
			r := newRequest("GET", "/safe/x", "")
			r.Header.Set("Authorization", "Bearer "+key)
			if resp, _ := env.serve(r); resp.Code != http.StatusServiceUnavailable || resp.Header().Get("Retry-After") == "" {
				t.Errorf("status %d, headers %v; want 503 with Retry-After", resp.Code, resp.Header())
			}
		}
		if n := env.servers[0].requestCount(); n != 0 {
			t.Errorf("%d requests reached a server", n)
		}
		if resp, _ := env.serve(newRequest("GET", "/open/x", "")); resp.Code != 200 {
			t.Errorf("status %d for an anonymous request", resp.Code)
		}
		confirmed = true
		r := newRequest("GET", "/safe/x", "")
		r.Header.Set("Authorization", "Bearer "+deskKey)
		if resp, _ := env.serve(r); resp.Code != 200 {
			t.Errorf("status %d once confirmed", resp.Code)
		}
	})
}
