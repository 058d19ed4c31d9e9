package memkv

import (
	"sync"
	"time"
)

// defaultMaxWatch is how long a watch waits before it returns without entries.
const defaultMaxWatch = 30 * time.Second

// Options configure a Store.
type Options struct {
	// MaxWatch is how long a watch waits before it returns without entries; default 30 s.
	MaxWatch time.Duration
}

// Store is a key-value store in memory. It implements kv.Store itself, as the client "".
type Store struct {
	*Client
	engine   *engine
	maxWatch time.Duration

	mu      sync.Mutex
	faults  Faults
	hook    Hook
	toggled chan struct{} // closed and replaced when faults change
	counts  Counts
}

// New returns an empty Store.
func New(o Options) *Store {
	if o.MaxWatch == 0 {
		o.MaxWatch = defaultMaxWatch
	}
	s := &Store{engine: newEngine(), maxWatch: o.MaxWatch, toggled: make(chan struct{})}
	s.Client = s.NewClient("")
	return s
}

// NewClient returns a client with faults and counts of its own, for example one zone's.
func (s *Store) NewClient(name string) *Client {
	return &Client{store: s, name: name}
}

// SetStoreFaults replaces the faults that all clients meet.
func (s *Store) SetStoreFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.toggle()
}

// SetHook installs a hook that sees every call of every client; nil removes it.
func (s *Store) SetHook(h Hook) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hook = h
}

// StoreFaults returns the faults that all clients meet.
func (s *Store) StoreFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// StoreCounts returns the calls of all clients.
func (s *Store) StoreCounts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Store) toggle() {
	close(s.toggled)
	s.toggled = make(chan struct{})
}

// plan is what the faults make of one call.
type plan struct {
	verdict Verdict
	delay   time.Duration
	silent  bool
	stale   *Snapshot
	toggled <-chan struct{}
}

// admit counts a call of c and decides what becomes of it.
func (s *Store) admit(c *Client, op Op, key string, write bool) plan {
	s.mu.Lock()
	s.counts.add(op)
	c.counts.add(op)
	call := Call{Client: c.name, Op: op, Key: key, Serial: c.counts.Total()}
	hook := s.hook
	s.mu.Unlock()
	verdict := VerdictPass
	if hook != nil {
		verdict = hook(call)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.planLocked(c, verdict, write)
}

func (s *Store) planLocked(c *Client, verdict Verdict, write bool) plan {
	p := plan{
		verdict: verdict,
		delay:   s.faults.Delay + c.faults.Delay,
		silent:  s.faults.WatchSilent || c.faults.WatchSilent,
		stale:   s.faults.Stale,
		toggled: s.toggled,
	}
	if c.faults.Stale != nil {
		p.stale = c.faults.Stale
	}
	if s.faults.Down || c.faults.Down {
		p.verdict = VerdictRefuse
	}
	if write && p.verdict == VerdictPass {
		p.verdict = s.faults.takeLost()
	}
	if write && p.verdict == VerdictPass {
		p.verdict = c.faults.takeLost()
	}
	return p
}

func (s *Store) isDown(c *Client) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Down || c.faults.Down
}
