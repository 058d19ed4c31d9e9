package forward

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/azureflow/azureflow/internal/memory"
)

// holder gives the handler a part of an account, as a connection does.
type holder struct {
	*httptest.ResponseRecorder
	account *memory.Account
	held    int64
	peak    int64
}

func (h *holder) Reserve(n int64) error {
	if !h.TryReserve(n) {
		return &memory.NoRoomError{Bytes: n}
	}
	return nil
}

func (h *holder) TryReserve(n int64) bool {
	if !h.account.TryReserve(n) {
		return false
	}
	h.held += n
	h.peak = max(h.peak, h.held)
	return true
}

func (h *holder) Release(n int64) {
	h.account.Release(n)
	h.held -= n
}

func (env *testEnv) serveWithin(capacity int64, r *http.Request) *holder {
	h := &holder{ResponseRecorder: httptest.NewRecorder(), account: memory.NewAccount(capacity)}
	env.handler.ServeHTTP(h, r)
	return h
}

func TestBodyWithoutRoomIsRefusedBeforeAnySending(t *testing.T) {
	withTestEnv(t, []script{respondOK}, func(t *testing.T, env *testEnv) {
		h := env.serveWithin(200<<10, newRequest("POST", "/unsafe/x", strings.Repeat("b", 300<<10)))
		if h.Code != http.StatusServiceUnavailable || h.Header().Get("Retry-After") == "" || env.servers[0].requestCount() != 0 {
			t.Errorf("status %d, %d sent; want a refusal with a promise", h.Code, env.servers[0].requestCount())
		}
		h = env.serveWithin(200<<10, newRequest("POST", "/unsafe/x", "small"))
		if h.Code != http.StatusOK || env.servers[0].requestCount() != 1 || h.peak > firstBufferBytes {
			t.Errorf("status %d, %d bytes reserved for a small body", h.Code, h.peak)
		}
	})
}

// A body takes memory as it arrives, not by the length that is announced.
func TestAnnouncedLengthReservesNothing(t *testing.T) {
	withTestEnv(t, []script{respondOK}, func(t *testing.T, env *testEnv) {
		r := newRequest("POST", "/unsafe/x", "short")
		r.ContentLength, r.Body = bufferedBodyBytes-1, io.NopCloser(io.MultiReader(strings.NewReader("short"), failingReader{}))
		defer func() { _ = recover() }() // the connection is aborted, since the caller is gone
		if h := env.serveWithin(1<<20, r); h.peak > firstBufferBytes {
			t.Errorf("%d bytes reserved for 5", h.peak)
		}
	})
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func TestResponseWithoutRoomIsPassedOnAsItArrives(t *testing.T) {
	body := strings.Repeat("r", 100<<10)
	large := respondRaw("HTTP/1.1 200 OK\r\nTest-Id: ID\r\nTest-Signature: s\r\nContent-Length: 102400\r\n\r\n" + body)
	withTestEnv(t, []script{large}, func(t *testing.T, env *testEnv) {
		h := env.serveWithin(50<<10, newRequest("GET", "/safe/x", ""))
		if h.Code != http.StatusOK || h.Body.String() != body || h.peak > 50<<10 {
			t.Errorf("status %d, %d bytes, %d reserved", h.Code, h.Body.Len(), h.peak)
		}
	})
}

// The beginning of a body of unknown length must not pass for all of it: the server would run another request.
func TestBodyInChunksOverTheLimitIsNotCutShort(t *testing.T) {
	withTestEnv(t, []script{respondOK}, func(t *testing.T, env *testEnv) {
		r := newRequest("POST", "/upload/x", "")
		r.ContentLength, r.Body = -1, io.NopCloser(strings.NewReader(strings.Repeat("b", 1<<21+100)))
		h := env.serveWithin(0, r)
		if h.Code != http.StatusRequestEntityTooLarge {
			t.Errorf("status %d for a body over the limit, want 413", h.Code)
		}
	})
}

// The server must not wait for the rest of a body that its caller does not send, and nothing may be promised.
func TestBodyThatStopsAfterItsBeginningWasPassedOn(t *testing.T) {
	withTestEnv(t, []script{respondOK}, func(t *testing.T, env *testEnv) {
		r := newRequest("POST", "/upload/x", "")
		r.ContentLength = bufferedBodyBytes + 200
		r.Body = io.NopCloser(io.MultiReader(strings.NewReader(strings.Repeat("b", bufferedBodyBytes+100)), failingReader{}))
		h := env.serveWithin(4<<20, r)
		synctest.Wait()
		if h.Code != http.StatusBadGateway || env.servers[0].closedConnCount() != 1 || h.held > streamBytes {
			t.Errorf("status %d, %d connections closed, %d bytes held", h.Code, env.servers[0].closedConnCount(), h.held)
		}
	})
}
