package forward

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// endless answers with head and then with part again and again until the entry VM closes the connection. taken
// counts the bytes; beyond stopAfter the server gives up.
func endless(head, part string, taken *int) script {
	const stopAfter = 16 << 20
	return func(_ *fakeServer, r *http.Request, w io.Writer) {
		next := strings.ReplaceAll(head, "ID", r.Header.Get("Test-Id"))
		for *taken < stopAfter {
			n, err := io.WriteString(w, next)
			*taken += n
			if err != nil {
				return
			}
			next = part
		}
	}
}

// Bytes without end that are no answer take bounded memory and end with a closed connection. A request is sent again
// only where it may run twice.
func TestBytesWithoutEnd(t *testing.T) {
	const (
		limit = maxHeadBytes + heldAnswerBytes + 64<<10 // with the buffers of reader and writer
		id    = "HTTP/1.1 200 OK\r\nTest-Id: ID\r\n"
	)
	line := strings.Repeat("a", 1<<10)
	for _, test := range []struct{ name, head, part string }{
		{"status line", "", line},
		{"header field", signed + "Test-Long: ", line},
		{"header fields", signed, "Test-Field: " + line + "\r\n"},
		{"interim answers", "", "HTTP/1.1 103 Early Hints\r\nTest-Field: " + line + "\r\n\r\n"},
		{"folded lines", signed + "Test-Long: a\r\n", " " + line + "\r\n"},
		{"chunk extension", signed + "Transfer-Encoding: chunked\r\n\r\n4;", line},
		{"chunk size", signed + "Transfer-Encoding: chunked\r\n\r\n", "0000"},
		{"trailer", signed + "Transfer-Encoding: chunked\r\nTrailer: Test-Field\r\n\r\n4\r\nbody\r\n0\r\n", "Test-Field: " + line + "\r\n"},
		{"body without a signature", id + "\r\n", line},
		{"chunks without a signature", id + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + line + "\r\n"},
		{"answer to another request", strings.ReplaceAll(signed, "ID", "other") + "\r\n", line},
	} {
		for path, want := range map[string]int{"/safe/x": 200, "/unsafe/x": 502, "/upload/x": 502} {
			t.Run(test.name+path, func(t *testing.T) {
				taken := 0
				inWorld(t, []script{endless(test.head, test.part, &taken), ok}, func(t *testing.T, w *world) {
					start := time.Now()
					answer, aborted := w.ask(request("POST", path, "sent"))
					if aborted || answer.Code != want {
						t.Errorf("status %d, aborted %v; want %d", answer.Code, aborted, want)
					}
					if took := time.Since(start); took > 0 {
						t.Errorf("the caller waited for %v", took)
					}
					w.expectClosed(t)
				})
				if taken > limit {
					t.Errorf("%d bytes were taken, %d are allowed", taken, limit)
				}
			})
		}
	}
}

// A failure whose body has no end: another server is asked where that is allowed, else the caller's answer is cut
// off at its deadline, so that it does not look whole.
func TestFailureWithABodyWithoutEnd(t *testing.T) {
	const failed = "HTTP/1.1 500 Internal Server Error\r\nTest-Id: ID\r\nTest-Signature: s\r\n\r\n"
	taken := 0
	inWorld(t, []script{endless(failed, "more", &taken), ok}, func(t *testing.T, w *world) {
		if answer, aborted := w.ask(request("POST", "/safe/x", "sent")); aborted || answer.Code != 200 {
			t.Errorf("status %d, aborted %v; want another server's answer", answer.Code, aborted)
		}
		w.expectClosed(t)
	})
}

// A signed answer whose body goes on slowly for ever is passed on and cut off at the request's timeout.
func TestAnswerThatNeverEndsIsCutOff(t *testing.T) {
	slowly := func(_ *fakeServer, r *http.Request, w io.Writer) {
		_, err := io.WriteString(w, strings.ReplaceAll(signed, "ID", r.Header.Get("Test-Id"))+"\r\n")
		for err == nil {
			_, err = io.WriteString(w, strings.Repeat("a", 64<<10))
			time.Sleep(10 * time.Millisecond)
		}
	}
	for _, path := range []string{"/safe/x", "/unsafe/x"} {
		inWorld(t, []script{slowly, ok}, func(t *testing.T, w *world) {
			start := time.Now()
			if _, aborted := w.ask(request("POST", path, "sent")); !aborted {
				t.Errorf("%s: an answer without end looks whole", path)
			}
			if took, most := time.Since(start), 2*time.Second+100*time.Millisecond; took > most {
				t.Errorf("%s: cut off after %v, its timeout is 2 s", path, took)
			}
			if seen := w.servers[1].seen(); seen > 0 {
				t.Errorf("%s: %d more sendings after part of the answer was passed on", path, seen)
			}
			w.expectClosed(t)
		})
	}
}

// expectClosed fails if the connection to the first server is still open.
func (w *world) expectClosed(t *testing.T) {
	t.Helper()
	time.Sleep(time.Second)
	synctest.Wait()
	if w.servers[0].lost() != 1 {
		t.Error("the connection to the server is still open")
	}
}
