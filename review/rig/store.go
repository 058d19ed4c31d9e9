package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry of the store on the wire; Value is base64 text in JSON.
type item struct {
	Key             string `json:"key"`
	Value           []byte `json:"value,omitempty"`
	Revision        uint64 `json:"revision"`
	CreatedRevision uint64 `json:"created_revision,omitempty"`
	Lease           uint64 `json:"lease,omitempty"`
	Deleted         bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

// maxPageItems is the number of items of a page; the protocol allows about 500.
const maxPageItems = 50

// store is a stand-in of the platform's store. All its reads are current.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	events   []item
	revision uint64
	leases   map[uint64]*lease
	changed  chan struct{}
}

func newStore() *store {
	s := &store{items: make(map[string]item), leases: make(map[uint64]*lease), revision: 100, changed: make(chan struct{})}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.endLeases()
		}
	}()
	return s
}

// put writes a key, as the operator, the servers and other writers do. It returns when the write was accepted.
func (s *store) put(key, value string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(item{Key: key, Value: []byte(value)})
	s.notify()
	return time.Now()
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.erase(key)
	s.notify()
}

func (s *store) write(i item) {
	s.revision++
	i.Revision, i.CreatedRevision = s.revision, s.revision
	if old, ok := s.items[i.Key]; ok {
		i.CreatedRevision = old.CreatedRevision
	}
	s.items[i.Key] = i
	s.events = append(s.events, i)
}

func (s *store) erase(key string) {
	if _, ok := s.items[key]; ok {
		s.revision++
		delete(s.items, key)
		s.events = append(s.events, item{Key: key, Revision: s.revision, Deleted: true})
	}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) endLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.until) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.erase(key)
		}
	}
	s.notify()
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/azureflow/"), "/")
	number, _ := strconv.ParseUint(id, 10, 64)
	var status int
	var response any
	switch r.Method + " " + call {
	case "GET kv-key":
		status, response = s.get(r.URL.Query().Get("key"))
	case "GET kv-range":
		status, response = s.list(r.URL.Query().Get("prefix"), r.URL.Query().Get("after"))
	case "GET kv-watch":
		status, response = s.watch(r)
	case "POST kv-txn":
		status, response = s.transact(r)
	case "POST kv-lease":
		status, response = s.grant(r)
	case "POST kv-keep":
		status, response = s.keep(number)
	case "DELETE kv-lease-end":
		s.mu.Lock()
		s.endLease(number)
		s.mu.Unlock()
		status, response = http.StatusOK, struct{}{}
	default:
		status, response = http.StatusNotFound, struct{}{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(response)
}

func (s *store) get(key string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	if !ok {
		return http.StatusNotFound, struct{}{}
	}
	return http.StatusOK, struct {
		item
		StoreRevision uint64 `json:"store_revision"`
	}{i, s.revision}
}

func (s *store) list(prefix, after string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := struct {
		Items         []item `json:"items"`
		HasMore       bool   `json:"has_more"`
		StoreRevision uint64 `json:"store_revision"`
	}{Items: []item{}, StoreRevision: s.revision}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page.Items = append(page.Items, i)
		}
	}
	sort.Slice(page.Items, func(a, b int) bool { return page.Items[a].Key < page.Items[b].Key })
	if len(page.Items) > maxPageItems {
		page.Items, page.HasMore = page.Items[:maxPageItems], true
	}
	return http.StatusOK, page
}

func (s *store) watch(r *http.Request) (int, any) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		found := struct {
			Events        []item `json:"events"`
			StoreRevision uint64 `json:"store_revision"`
		}{Events: []item{}, StoreRevision: s.revision}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, query.Get("prefix")) {
				found.Events = append(found.Events, e)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(found.Events) > 0 {
			return http.StatusOK, found
		}
		select {
		case <-changed:
		case <-timer.C:
			return http.StatusOK, found
		case <-r.Context().Done():
			return http.StatusOK, found
		}
	}
}

func (s *store) transact(r *http.Request) (int, any) {
	var m struct {
		Expect  []item   `json:"expect"`
		Writes  []item   `json:"writes"`
		Deletes []string `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&m) != nil {
		return http.StatusBadRequest, struct{}{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, satisfied := []item{}, true
	for _, e := range m.Expect {
		i := s.items[e.Key]
		i.Key = e.Key
		current = append(current, i)
		satisfied = satisfied && i.Revision == e.Revision
	}
	if !satisfied {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	if slices.ContainsFunc(m.Writes, func(w item) bool { return w.Lease != 0 && s.leases[w.Lease] == nil }) {
		return http.StatusNotFound, struct{}{}
	}
	for _, w := range m.Writes {
		s.write(w)
	}
	for _, key := range m.Deletes {
		s.erase(key)
	}
	s.notify()
	return http.StatusOK, map[string]uint64{"revision": s.revision}
}

func (s *store) grant(r *http.Request) (int, any) {
	var m struct {
		TTLMS int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&m) != nil || m.TTLMS <= 0 {
		return http.StatusBadRequest, struct{}{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(m.TTLMS) * time.Millisecond
	s.leases[s.revision] = &lease{ttl: ttl, until: time.Now().Add(ttl)}
	return http.StatusOK, map[string]uint64{"lease": s.revision, "ttl_ms": uint64(m.TTLMS)}
}

func (s *store) keep(id uint64) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return http.StatusNotFound, struct{}{}
	}
	l.until = time.Now().Add(l.ttl)
	return http.StatusOK, map[string]int64{"ttl_ms": l.ttl.Milliseconds()}
}
