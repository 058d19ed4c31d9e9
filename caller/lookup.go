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
	staleRetry        = 500 * time.Millisecond // between lookups while none is answered
	minLookupLifetime = 100 * time.Millisecond

	minLookupSilence    = 20 * time.Millisecond // an entry VM may take to answer a lookup
	maxLookupSilence    = 150 * time.Millisecond
	lookupDeadlineParts = 8 // the same, as a part of the time left
)

// EntryVM is an entry VM as a lookup answer names it.
type EntryVM struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	Address     string `json:"address"` // host:port
}

// lookupAnswer is the body of a lookup answer.
type lookupAnswer struct {
	Entries        []EntryVM `json:"entries"` // best first
	LifetimeMs     int64     `json:"lifetime_ms"`
	Reason         string    `json:"reason"`
	Decision       string    `json:"decision"`
	KnowledgeAgeMs int64     `json:"knowledge_age_ms"`
}

// cachedLookup is a lookup answer and how long it may be used.
type cachedLookup struct {
	entries []EntryVM
	until   time.Time
}

// lookups keeps the lookup answers of each service.
type lookups struct {
	client *Client

	mu       sync.Mutex
	services map[string]*serviceLookup
}

// serviceLookup is the cached answer of one service.
type serviceLookup struct {
	asking chan struct{} // holds a token while a lookup is in progress
	cached atomic.Pointer[cachedLookup]
}

// entries returns the entry VMs to use, best first, from the cache while it lives. While one request
// asks again, the others use the old answer; without one they wait, no longer than their context. An
// old answer is also used when nobody answers a new lookup.
func (l *lookups) entries(ctx context.Context, service string) ([]EntryVM, error) {
	s := l.service(service)
	if cached := s.cached.Load(); time.Now().Before(cached.until) {
		return cached.entries, nil
	}
	select {
	case s.asking <- struct{}{}:
	default:
		if cached := s.cached.Load(); len(cached.entries) > 0 {
			return cached.entries, nil
		}
		select {
		case s.asking <- struct{}{}:
		case <-ctx.Done():
			return nil, &LookupError{Service: service, Cause: ctx.Err()}
		}
	}
	defer func() { <-s.asking }()
	return l.refresh(ctx, service, s)
}

// refresh asks for a new answer, unless another request just got one.
func (l *lookups) refresh(ctx context.Context, service string, s *serviceLookup) ([]EntryVM, error) {
	cached := s.cached.Load()
	if time.Now().Before(cached.until) {
		return cached.entries, nil
	}
	fresh, err := l.ask(ctx, service, cached.entries)
	if err != nil && len(cached.entries) == 0 {
		return nil, err
	}
	if err != nil {
		fresh = cachedLookup{entries: cached.entries, until: time.Now().Add(staleRetry)}
	}
	s.cached.Store(&fresh)
	return fresh.entries, nil
}

// expire makes the next request of the service ask again.
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
		s = &serviceLookup{asking: make(chan struct{}, 1)}
		s.cached.Store(&cachedLookup{})
		l.services[name] = s
	}
	return s
}

// lookupReply is what became of one lookup.
type lookupReply struct {
	answer cachedLookup
	err    error
}

// ask asks the entry VMs known last, then the bootstrap addresses, until one answers. While one stays
// silent, the next is asked beside it.
func (l *lookups) ask(ctx context.Context, service string, known []EntryVM) (cachedLookup, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	addresses := l.addresses(known)
	replies := make(chan lookupReply, len(addresses))
	failure := &LookupError{Service: service}
	asked, pending := 0, 0
	next := func() {
		if asked == len(addresses) || ctx.Err() != nil {
			return
		}
		address := addresses[asked]
		asked++
		pending++
		go func() {
			answer, err := l.askOne(ctx, service, address)
			replies <- lookupReply{answer, err}
		}()
	}
	for next(); pending > 0; {
		silent := time.NewTimer(lookupSilence(ctx))
		select {
		case r := <-replies:
			silent.Stop()
			if r.err == nil {
				return r.answer, nil
			}
			failure.Cause = r.err
			pending--
			next()
		case <-silent.C:
			l.client.connections.suspect()
			next()
		}
	}
	return cachedLookup{}, failure
}

// addresses returns whom to ask, in order.
func (l *lookups) addresses(known []EntryVM) []string {
	addresses := make([]string, 0, len(known)+len(l.client.opts.Entries))
	for _, e := range known {
		addresses = append(addresses, e.Address)
	}
	return append(addresses, l.client.opts.Entries...)
}

// lookupSilence returns how long to wait for one entry VM before the next is asked beside it.
func lookupSilence(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return maxLookupSilence
	}
	return max(minLookupSilence, min(maxLookupSilence, time.Until(deadline)/lookupDeadlineParts))
}

func (l *lookups) askOne(ctx context.Context, service, address string) (cachedLookup, error) {
	ctx, cancel := context.WithTimeout(ctx, l.client.opts.LookupTimeout)
	defer cancel()
	query := url.Values{"service": {service}, "origin": {l.client.opts.Origin}, "block": {l.client.opts.Block}}
	target := "http://" + address + "/v1/lookup?" + query.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return cachedLookup{}, err
	}
	asked := time.Now()
	resp, err := l.client.opts.HTTP.RoundTrip(req)
	if err != nil {
		return cachedLookup{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return cachedLookup{}, &StatusError{Status: resp.StatusCode}
	}
	var answer lookupAnswer
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxLookupBytes)).Decode(&answer); err != nil {
		return cachedLookup{}, err
	}
	if len(answer.Entries) == 0 {
		return cachedLookup{}, &LookupError{Service: service}
	}
	lifetime := max(minLookupLifetime, time.Duration(answer.LifetimeMs)*time.Millisecond)
	return cachedLookup{entries: answer.Entries, until: asked.Add(lifetime)}, nil
}
