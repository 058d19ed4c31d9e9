package rig2

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Server is a sound server of a service.
type Server struct {
	Entry   Entry
	Work    time.Duration // of each request
	Answer  int           // bytes of the answers on paths that end with /large
	Record  *Record
	Leaving atomic.Bool // it says so in its answers

	store   *Store
	running atomic.Int64
	waiting atomic.Int64
	slots   chan struct{}
	http    *http.Server
	mu      sync.Mutex
	stopped bool // it writes no entry any more
}

// queueLength is how many requests wait for a slot at most.
const queueLength = 18

// StartServer starts a server and its entry, which it renews each heartbeat.
func StartServer(store *Store, e Entry, work, heartbeat time.Duration, record *Record) (*Server, error) {
	listener, err := net.Listen("tcp", e.Address)
	if err != nil {
		return nil, err
	}
	e.Address = listener.Addr().String()
	s := &Server{Entry: e, Work: work, Record: record, store: store, slots: make(chan struct{}, e.Slots)}
	s.http = &http.Server{Handler: s, IdleTimeout: 10 * time.Second, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.http.Serve(listener) }()
	s.Write(func(*Entry) {})
	go func() {
		for s.Write(func(*Entry) {}) {
			time.Sleep(heartbeat)
		}
	}()
	return s, nil
}

// Write writes the server's entry after change. It returns false if the server writes none any more.
func (s *Server) Write(change func(e *Entry)) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return false
	}
	change(&s.Entry)
	s.Entry.Seq++
	s.store.Register(&s.Entry)
	return true
}

// Unregister removes the entry. It returns when the store has acknowledged that.
func (s *Server) Unregister() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.store.Delete(s.Entry.Key())
	return time.Now()
}

// Exit ends the server at once: its connections close.
func (s *Server) Exit() { _ = s.http.Close() }

// ServeHTTP runs a request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	h := w.Header()
	h.Set("X-Request-Id", id)
	h.Set("Keep-Alive", "timeout=10")
	if s.Leaving.Load() {
		h.Set("Server-Leaving", "1")
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.Entry.ID {
		h.Set("X-Instance-Id", s.Entry.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.waiting.Add(1) > queueLength {
		s.waiting.Add(-1)
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.slots <- struct{}{}
	s.waiting.Add(-1)
	s.running.Add(1)
	s.Record.ran(id, &s.Entry, r.URL.Path)
	time.Sleep(s.Work)
	h.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d,100", s.running.Load(), s.waiting.Load(), s.Entry.Slots))
	s.running.Add(-1)
	<-s.slots
	sum := sha256.Sum256(body)
	answer := []byte(s.Entry.ID + " has run " + id + "\n")
	if strings.HasSuffix(r.URL.Path, "/large") {
		answer = bytes.Repeat(answer, s.Answer/len(answer)+1)[:s.Answer]
		h.Set("Content-Length", fmt.Sprint(s.Answer))
	}
	h.Set("X-Response-Signature", hex.EncodeToString(sum[:4]))
	_, _ = w.Write(answer)
}
