package forward

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// respondEndlessly writes head and then part again and again until the entry VM closes the connection. written counts
// the bytes; the server stops after stopAfter bytes.
func respondEndlessly(head, part string, written *int) script {
	const stopAfter = 16 << 20
	return func(_ *fakeServer, r *http.Request, w io.Writer) {
		next := strings.ReplaceAll(head, "ID", r.Header.Get("Test-Id"))
		for *written < stopAfter {
			n, err := io.WriteString(w, next)
			*written += n
			if err != nil {
				return
			}
			next = part
		}
	}
}

// Endless bytes that are not a valid response take bounded memory, and the connection is closed. The request is retried
// only if it may run twice.
func TestBytesWithoutEnd(t *testing.T) {
	const (
		limit = maxHeadBytes + bufferedResponseBytes + 64<<10 // including the buffers of reader and writer
		id    = "HTTP/1.1 200 OK\r\nTest-Id: ID\r\n"
	)
	line := strings.Repeat("a", 1<<10)
	for _, test := range []struct{ name, head, part string }{
		{"status line", "", line},
		{"header field", signedHead + "Test-Long: ", line},
		{"header fields", signedHead, "Test-Field: " + line + "\r\n"},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nTest-Field: " + line + "\r\n\r\n"},
		{"folded lines", signedHead + "Test-Long: a\r\n", " " + line + "\r\n"},
		{"chunk extension", signedHead + "Transfer-Encoding: chunked\r\n\r\n4;", line},
		{"chunk size", signedHead + "Transfer-Encoding: chunked\r\n\r\n", "0000"},
		{"trailer", signedHead + "Transfer-Encoding: chunked\r\nTrailer: Test-Field\r\n\r\n4\r\nbody\r\n0\r\n", "Test-Field: " + line + "\r\n"},
		{"body without a signature", id + "\r\n", line},
		{"chunks without a signature", id + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + line + "\r\n"},
		{"response to another request", strings.ReplaceAll(signedHead, "ID", "other") + "\r\n", line},
	} {
		for path, want := range map[string]int{"/safe/x": 200, "/unsafe/x": 502, "/upload/x": 502} {
			t.Run(test.name+path, func(t *testing.T) {
				written := 0
				withTestEnv(t, []script{respondEndlessly(test.head, test.part, &written), respondOK}, func(t *testing.T, env *testEnv) {
					start := time.Now()
					resp, aborted := env.serve(newRequest("POST", path, "sent"))
					if aborted || resp.Code != want {
						t.Errorf("status %d, aborted %v; want %d", resp.Code, aborted, want)
					}
					if took := time.Since(start); took > 0 {
						t.Errorf("the caller waited for %v, want no wait", took)
					}
					env.expectClosedConn(t)
				})
				if written > limit {
					t.Errorf("%d bytes were read, %d are allowed", written, limit)
				}
			})
		}
	}
}

// A server fails with a body that never ends. The request is retried at another server where that is allowed; otherwise
// the caller's response is cut off at its deadline, so that it does not look complete.
func TestErrorResponseWithEndlessBody(t *testing.T) {
	const failedHead = "HTTP/1.1 500 Internal Server Error\r\nTest-Id: ID\r\nTest-Signature: s\r\n\r\n"
	written := 0
	withTestEnv(t, []script{respondEndlessly(failedHead, "more", &written), respondOK}, func(t *testing.T, env *testEnv) {
		if resp, aborted := env.serve(newRequest("POST", "/safe/x", "sent")); aborted || resp.Code != 200 {
			t.Errorf("status %d, aborted %v; want another server's response", resp.Code, aborted)
		}
		env.expectClosedConn(t)
	})
}

// A signed response whose body continues slowly without end is passed on and cut off at the request's timeout.
func TestEndlessResponseIsCutOff(t *testing.T) {
	slowly := func(_ *fakeServer, r *http.Request, w io.Writer) {
		_, err := io.WriteString(w, strings.ReplaceAll(signedHead, "ID", r.Header.Get("Test-Id"))+"\r\n")
		for err == nil {
			_, err = io.WriteString(w, strings.Repeat("a", 64<<10))
			time.Sleep(10 * time.Millisecond)
		}
	}
	for _, path := range []string{"/safe/x", "/unsafe/x"} {
		withTestEnv(t, []script{slowly, respondOK}, func(t *testing.T, env *testEnv) {
			start := time.Now()
			if _, aborted := env.serve(newRequest("POST", path, "sent")); !aborted {
				t.Errorf("%s: an endless response looks complete", path)
			}
			if took, maxTook := time.Since(start), 2*time.Second+100*time.Millisecond; took > maxTook {
				t.Errorf("%s: cut off after %v, its timeout is 2 s", path, took)
			}
			if count := env.servers[1].requestCount(); count > 0 {
				t.Errorf("%s: %d more attempts after part of the response was passed on", path, count)
			}
			env.expectClosedConn(t)
		})
	}
}

// expectClosedConn fails the test if the connection to the first server is still open.
func (env *testEnv) expectClosedConn(t *testing.T) {
	t.Helper()
	time.Sleep(time.Second)
	synctest.Wait()
	if env.servers[0].closedConnCount() != 1 {
		t.Error("the connection to the server is still open")
	}
}
