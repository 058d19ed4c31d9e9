// Package rig2 holds the stand-ins of the second review: the platform's store, servers, callers and the gateway
// processes between them.
package rig2

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/azureflow/azureflow/platform/platformtest"
)

// Store is the platform's store: that of the project's tests, with leases that end.
type Store struct {
	*platformtest.Store
	Address string

	mu     sync.Mutex
	leases map[string]*lease
	lag    time.Duration        // age of stale reads
	lists  map[string][]listing // by query of a stale read, oldest first
}

// listing is a page as it was at a moment.
type listing struct {
	at   time.Time
	body []byte
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// StartStore serves a store at address.
func StartStore(address string) (*Store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Store{Store: platformtest.NewStore(), Address: listener.Addr().String(), leases: make(map[string]*lease)}
	server := &http.Server{Handler: s.endLeases(s.Handler()), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return s, nil
}

// LagStaleReads lets reads of these prefixes that allow it be lag old.
func (s *Store) LagStaleReads(lag time.Duration, prefixes ...string) {
	s.mu.Lock()
	s.lag, s.lists = lag, make(map[string][]listing)
	s.mu.Unlock()
	handler := s.Handler()
	go func() {
		for ; ; time.Sleep(50 * time.Millisecond) {
			for _, prefix := range prefixes {
				page := httptest.NewRecorder()
				query := url.Values{"prefix": {prefix}}.Encode()
				at := time.Now()
				handler.ServeHTTP(page, httptest.NewRequest(http.MethodGet, "/azureflow/kv-range?"+query, nil))
				s.mu.Lock()
				s.lists[prefix] = append(s.lists[prefix], listing{at, page.Body.Bytes()})
				s.mu.Unlock()
			}
		}
	}()
}

// staleList returns the page that a stale read of r gets, nil if it gets the current one.
func (s *Store) staleList(r *http.Request) []byte {
	query := r.URL.Query()
	if query.Get("allow_stale") != "1" || query.Get("after") != "" {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	lists := s.lists[query.Get("prefix")]
	for len(lists) > 1 && time.Since(lists[1].at) >= s.lag {
		lists = lists[1:]
	}
	if len(lists) == 0 {
		return nil
	}
	s.lists[query.Get("prefix")] = lists
	return lists[0].body
}

// endLeases ends each lease that is not renewed in time.
func (s *Store) endLeases(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		const path = "/azureflow/"
		call, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, path), "/")
		if page := s.staleList(r); call == "kv-range" && page != nil {
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(page)
			return
		}
		if call != "kv-lease" && call != "kv-keep" && call != "kv-lease-end" {
			next.ServeHTTP(w, r)
			return
		}
		recorded := httptest.NewRecorder()
		next.ServeHTTP(recorded, r)
		s.mu.Lock()
		switch {
		case recorded.Code != http.StatusOK:
		case call == "kv-lease":
			var granted struct {
				Lease uint64 `json:"lease"`
				TTLMS int64  `json:"ttl_ms"`
			}
			if json.Unmarshal(recorded.Body.Bytes(), &granted) == nil {
				id = fmt.Sprint(granted.Lease)
				ttl := time.Duration(granted.TTLMS) * time.Millisecond
				end := httptest.NewRequest(http.MethodDelete, path+"kv-lease-end/"+id, nil)
				s.leases[id] = &lease{ttl, time.AfterFunc(ttl, func() { next.ServeHTTP(httptest.NewRecorder(), end) })}
			}
		case call == "kv-keep" && s.leases[id] != nil:
			s.leases[id].timer.Reset(s.leases[id].ttl)
		case call == "kv-lease-end" && s.leases[id] != nil:
			s.leases[id].timer.Stop()
			delete(s.leases, id)
		}
		s.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(recorded.Code)
		_, _ = w.Write(bytes.TrimSpace(recorded.Body.Bytes()))
	})
}

// Entry is what a server registers of itself.
type Entry struct {
	ID      string `json:"-"`
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Version string `json:"version"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
	ColdMS  int    `json:"cold_remaining_ms"`
	Seq     int    `json:"seq"`
	Born    int64  `json:"born"`
}

// Key returns the key of the server's entry.
func (e *Entry) Key() string { return "servers/" + e.ID }

// Register writes the entry of a server.
func (s *Store) Register(e *Entry) { s.Put(e.Key(), mustMarshal(e)) }

func mustMarshal(v any) []byte {
	value, err := json.Marshal(v)
	if err != nil {
		panic(err) // only plain values are passed
	}
	return value
}

// Route is a route of the configuration.
type Route struct {
	Name, Prefix, Kind, Service      string
	TimeoutMS, TargetMS, MaxAttempts int
	Affinity                         bool
}

// Host is the host of all routes.
const Host = "desk.example"

// Configure writes a configuration.
func (s *Store) Configure(version int, services []string, routes []Route) {
	rows := make([][]any, len(routes))
	for i, r := range routes {
		rows[i] = []any{r.Name, Host, r.Prefix, r.Kind, r.TimeoutMS, r.TargetMS, 1, r.Service, r.MaxAttempts, r.Affinity, []string{}, nil}
	}
	serviceRows := make([][]any, len(services))
	for i, name := range services {
		serviceRows[i] = []any{name, "/health", 390, "h1", false, 3.0, 7.3}
	}
	s.Put("op/config", mustMarshal(map[string]any{
		"version": fmt.Sprintf("r%d", version),
		"routes": map[string]any{
			"columns": []string{
				"name", "host", "prefix", "route_type", "timeout_ms", "target_latency_ms", "priority", "service", "max_attempts",
				"session_affinity", "allowed_regions", "traffic_split",
			},
			"rows": rows,
		},
		"services": map[string]any{
			"columns": []string{"name", "health_check_path", "max_connections", "protocol", "tls", "cold_start_s", "cold_per_s"},
			"rows":    serviceRows,
		},
		"limits": map[string]int{
			"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	}))
}
