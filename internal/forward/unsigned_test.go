package forward

import (
	"fmt"
	"net/http"
	"testing"
)

// Regression, review/7: an entry named an address that is no server's, and callers got the 404 of who listens there.
func TestUnsignedRejectionsAreNotPassedOn(t *testing.T) {
	answer := func(status int, more string) script {
		return respondRaw(fmt.Sprintf("HTTP/1.1 %d x\r\n%sContent-Length: 0\r\n\r\n", status, more))
	}
	const echo, signed = "Test-Id: ID\r\n", "Test-Id: ID\r\nTest-Signature: s\r\n"
	for _, status := range []int{301, 307, 400, 401, 403, 404, 405, 413, 431} {
		for _, head := range []string{"", echo} {
			t.Run(fmt.Sprintf("%d %q", status, head), func(t *testing.T) {
				withTestEnv(t, []script{answer(status, head), respondOK}, func(t *testing.T, env *testEnv) {
					if resp, _ := env.serve(newRequest("GET", "/safe/x", "")); resp.Code != http.StatusOK {
						t.Errorf("a safe request gets %d, want the other server's 200", resp.Code)
					}
				})
				withTestEnv(t, []script{answer(status, head), respondOK}, func(t *testing.T, env *testEnv) {
					if resp, _ := env.serve(newRequest("POST", "/unsafe/x", "x")); resp.Code != http.StatusBadGateway {
						t.Errorf("a request that may have run gets %d, want 502", resp.Code)
					}
				})
			})
		}
		t.Run(fmt.Sprintf("%d signed", status), func(t *testing.T) {
			withTestEnv(t, []script{answer(status, signed), respondOK}, func(t *testing.T, env *testEnv) {
				if resp, _ := env.serve(newRequest("GET", "/safe/x", "")); resp.Code != status {
					t.Errorf("the server's own %d is passed on as %d", status, resp.Code)
				}
			})
		})
	}
}
