package forward

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// Operators' report: a server stopped in the middle of its response's head and closed, and callers got a 200 with an
// empty or short body, framed as complete. No cut-off head is passed on, wherever the cut is, whatever frames the body,
// and whether the connection was used before; only a safe request is tried again.
func TestResponseThatEndsWithinItsHeadIsNoResponse(t *testing.T) {
	heads := map[string]string{
		"length":             signedHead + "Content-Length: 4\r\n\r\n",
		"length first":       strings.Replace(signedHead, "\r\n", "\r\nContent-Length: 1000\r\n", 1) + "\r\n",
		"chunks":             signedHead + "Transfer-Encoding: chunked\r\n\r\n",
		"end of connection":  signedHead + "Connection: close\r\n\r\n",
		"nothing":            strings.Replace(signedHead, "200 OK", "204 No Content", 1) + "\r\n",
		"bare line feeds":    strings.ReplaceAll(signedHead+"Content-Length: 4\r\n\r\n", "\r\n", "\n"),
		"after interim head": "HTTP/1.1 103 Early Hints\r\nTest-Id: ID\r\nTest-Signature: s\r\n\r\n" + signedHead + "\r\n",
		"HTTP/1.0":           strings.Replace(signedHead, "HTTP/1.1", "HTTP/1.0", 1) + "\r\n",
	}
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			for cut := range len(head) {
				for _, used := range []bool{false, true} {
					testCutHead(t, head[:cut], used)
				}
			}
		})
	}
}

// testCutHead sends a request of each kind to a server that responds with part of a head and closes. The connection
// carried another request before if used is set.
func testCutHead(t *testing.T, part string, used bool) {
	t.Helper()
	for path, want := range map[string]int{"/safe/x": 200, "/unsafe/x": 502, "/upload/x": 502} {
		requests := 0
		first := func(s *fakeServer, r *http.Request, w io.Writer) {
			if requests++; used && requests == 1 {
				respondOK(s, r, w)
				return
			}
			if part == "" {
				_ = w.(net.Conn).Close()
				return
			}
			respondAndClose(part)(s, r, w)
		}
		withTestEnv(t, []script{first, respondOK}, func(t *testing.T, env *testEnv) {
			if used {
				env.serve(newRequest("POST", path, "sent"))
			}
			resp, aborted := env.serve(newRequest("POST", path, "sent"))
			if aborted || resp.Code != want || want == 502 && (resp.Body.Len() != 0 || resp.Header().Get("Test-Signature") != "") {
				t.Errorf("%s, connection used %v, cut after %q: status %d, body %q, aborted %v; want %d", path, used, part, resp.Code, resp.Body, aborted, want)
			}
			if env.servers[1].requestCount() != map[int]int{200: 1}[want] {
				t.Errorf("%s, connection used %v, cut after %q: %d requests at the second server", path, used, part, env.servers[1].requestCount())
			}
		})
	}
}
