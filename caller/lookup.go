package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxLookupBytes    = 64 << 10
	staleRetry        = 500 * time.Millisecond // between lookups while none succeeds
	minLookupLifetime = 100 * time.Millisecond

	minLookupDelay        = 20 * time.Millisecond // minimum wait before the next entry VM is queried in parallel
	maxLookupDelay        = 150 * time.Millisecond
	lookupDeadlineDivisor = 8 // the wait is 1/8 of the time left, within these bounds
)

// EntryVM is an entry VM in a lookup response.
type EntryVM struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	Address     string `json:"address"` // host:port
}

// lookupResponse is the body of a lookup response.
type lookupResponse struct {
	Entries        []EntryVM `json:"entries"` // best first
	LifetimeMs     int64     `json:"lifetime_ms"`
	Reason         string    `json:"reason"`
	Decision       string    `json:"decision"`
	KnowledgeAgeMs int64     `json:"knowledge_age_ms"`
}

// cachedLookup is a lookup response with its expiry.
type cachedLookup struct {
	entries   []EntryVM
	expiresAt time.Time
}

// lookups caches the lookup responses per service.
type lookups struct {
	client *Client

	mu       sync.Mutex
	services map[string]*serviceLookup
}

// serviceLookup is the cached lookup of one service.
type serviceLookup struct {
	inProgress chan struct{} // holds a token while a lookup is in progress
	cached     atomic.Pointer[cachedLookup]
}

// entries returns the entry VMs to use, best first, from the cache until it expires. While one request
// refreshes the cache, the others use the expired response; if there is none, they wait until their
// context ends at the latest. The expired response is also used if no entry VM responds to a new lookup.
func (l *lookups) entries(ctx context.Context, service string) ([]EntryVM, error) {
	s := l.service(service)
	if cached := s.cached.Load(); time.Now().Before(cached.expiresAt) {
		return cached.entries, nil
	}
	select {
	case s.inProgress <- struct{}{}:
	default:
		if cached := s.cached.Load(); len(cached.entries) > 0 {
			return cached.entries, nil
		}
		select {
		case s.inProgress <- struct{}{}:
		case <-ctx.Done():
			return nil, &LookupError{Service: service, Cause: ctx.Err()}
		}
	}
	defer func() { <-s.inProgress }()
	return l.refresh(ctx, service, s)
}

// refresh performs a new lookup unless another request has just done so.
func (l *lookups) refresh(ctx context.Context, service string, s *serviceLookup) ([]EntryVM, error) {
	cached := s.cached.Load()
	if time.Now().Before(cached.expiresAt) {
		return cached.entries, nil
	}
	fresh, err := l.queryEntryVMs(ctx, service, cached.entries)
	if err != nil && len(cached.entries) == 0 {
		return nil, err
	}
	if err != nil {
		fresh = cachedLookup{entries: cached.entries, expiresAt: time.Now().Add(staleRetry)}
	}
	s.cached.Store(&fresh)
	return fresh.entries, nil
}

// expire makes the next request to the service perform a new lookup.
func (l *lookups) expire(service string) {
	s := l.service(service)
	cached := s.cached.Load()
	s.cached.CompareAndSwap(cached, &cachedLookup{entries: cached.entries})
}

func (l *lookups) service(name string) *serviceLookup {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.services[name]
	if s == nil {
		s = &serviceLookup{inProgress: make(chan struct{}, 1)}
		s.cached.Store(&cachedLookup{})
		l.services[name] = s
	}
	return s
}

// lookupResult is the result of one lookup.
type lookupResult struct {
	lookup cachedLookup
	err    error
}

// queryEntryVMs sends the lookup to the last known entry VMs, then to the bootstrap addresses, until one responds. While
// one is unresponsive, the next is queried in parallel.
func (l *lookups) queryEntryVMs(ctx context.Context, service string, known []EntryVM) (cachedLookup, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	addresses := l.addresses(known)
	replies := make(chan lookupResult, len(addresses))
	failure := &LookupError{Service: service}
	started, pending := 0, 0
	next := func() {
		if started == len(addresses) || ctx.Err() != nil {
			return
		}
		address := addresses[started]
		started++
		pending++
		go func() {
			lookup, err := l.queryEntryVM(ctx, service, address)
			replies <- lookupResult{lookup, err}
		}()
	}
	for next(); pending > 0; {
		timer := time.NewTimer(parallelLookupDelay(ctx))
		select {
		case r := <-replies:
			timer.Stop()
			if r.err == nil {
				return r.lookup, nil
			}
			failure.Cause = r.err
			pending--
			next()
		case <-timer.C:
			l.client.connections.closeIdle()
			next()
		}
	}
	return cachedLookup{}, failure
}

// addresses returns the addresses to query, in order.
func (l *lookups) addresses(known []EntryVM) []string {
	addresses := make([]string, 0, len(known)+len(l.client.opts.Entries))
	for _, e := range known {
		addresses = append(addresses, e.Address)
	}
	return append(addresses, l.client.opts.Entries...)
}

// parallelLookupDelay returns how long to wait for one entry VM before the next is queried in parallel.
func parallelLookupDelay(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return maxLookupDelay
	}
	return max(minLookupDelay, min(maxLookupDelay, time.Until(deadline)/lookupDeadlineDivisor))
}

func (l *lookups) queryEntryVM(ctx context.Context, service, address string) (cachedLookup, error) {
	ctx, cancel := context.WithTimeout(ctx, l.client.opts.LookupTimeout)
	defer cancel()
	query := url.Values{"service": {service}, "origin": {l.client.opts.Origin}, "block": {l.client.opts.Block}}
	target := "http://" + address + "/v1/lookup?" + query.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return cachedLookup{}, err
	}
	requestedAt := time.Now()
	resp, err := l.client.opts.HTTP.RoundTrip(req)
	if err != nil {
		return cachedLookup{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return cachedLookup{}, &StatusError{Status: resp.StatusCode}
	}
	var response lookupResponse
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxLookupBytes)).Decode(&response); err != nil {
		return cachedLookup{}, err
	}
	if len(response.Entries) == 0 {
		return cachedLookup{}, &LookupError{Service: service}
	}
	lifetime := max(minLookupLifetime, time.Duration(response.LifetimeMs)*time.Millisecond)
	return cachedLookup{entries: response.Entries, expiresAt: requestedAt.Add(lifetime)}, nil
}
