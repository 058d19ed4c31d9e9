package standin

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/azureflow/azureflow/internal/request"
)

// RunEnd says how a run ended.
type RunEnd string

// The ends of a run.
const (
	EndRunning   RunEnd = "running"
	EndFinished  RunEnd = "finished"
	EndCancelled RunEnd = "cancelled" // by the caller or its deadline; the effect stays
)

// Run is one execution of a request. Its effect happened at StartedAt.
type Run struct {
	ID         uint64    `json:"id"`
	Key        string    `json:"key,omitempty"` // idempotency key
	Attempt    string    `json:"attempt,omitempty"`
	Method     string    `json:"method"`
	URI        string    `json:"uri"`
	StartedAt  time.Time `json:"started_at"`
	FinishedAt time.Time `json:"finished_at,omitzero"`
	End        RunEnd    `json:"end"`
	// AfterDrainMs is how long after the begin of a drain the run started; 0: not draining.
	AfterDrainMs float64 `json:"after_drain_ms,omitempty"`
}

// Ledger is what a server really did.
type Ledger struct {
	Received uint64 `json:"received"` // requests, control endpoints not counted
	Started  uint64 `json:"started"`  // requests whose effect happened
	Refused  uint64 `json:"refused"`  // requests shed, not run
	Broken   uint64 `json:"broken"`   // requests whose body broke off, not run
	Dropped  uint64 `json:"dropped"`  // runs no longer in Runs
	// LastAfterDrainMs is how long after the begin of the drain the last request arrived.
	LastAfterDrainMs float64 `json:"last_after_drain_ms,omitempty"`
	Runs             []Run   `json:"runs"`
}

// Starts returns how often a request with key was started.
func (l Ledger) Starts(key string) int {
	n := 0
	for _, r := range l.Runs {
		if r.Key == key {
			n++
		}
	}
	return n
}

// Doubled returns the idempotency keys that were started more than once over all ledgers by a
// method that is not safe, sorted.
func Doubled(ledgers ...Ledger) []string {
	starts := make(map[string]int)
	for _, l := range ledgers {
		for _, r := range l.Runs {
			if r.Key != "" && r.Method != http.MethodGet && r.Method != http.MethodHead {
				starts[r.Key]++
			}
		}
	}
	var doubled []string
	for key, n := range starts {
		if n > 1 {
			doubled = append(doubled, key)
		}
	}
	slices.Sort(doubled)
	return doubled
}

// ledger collects a Ledger.
type ledger struct {
	mu     sync.Mutex
	limit  int
	nextID uint64
	data   Ledger
}

func (l *ledger) received(drainedAt int64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.data.Received++
	if drainedAt != 0 {
		l.data.LastAfterDrainMs = sinceMs(drainedAt, now)
	}
}

func (l *ledger) refused() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.data.Refused++
}

func (l *ledger) broken() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.data.Broken++
}

func (l *ledger) start(r *http.Request, drainedAt int64, now time.Time) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextID++
	l.data.Started++
	run := Run{
		ID:        l.nextID,
		Key:       r.Header.Get(request.HeaderIdempotency),
		Attempt:   r.Header.Get(request.HeaderAttempt),
		Method:    r.Method,
		URI:       r.URL.RequestURI(),
		StartedAt: now,
		End:       EndRunning,
	}
	if drainedAt != 0 {
		run.AfterDrainMs = sinceMs(drainedAt, now)
	}
	if len(l.data.Runs) >= l.limit {
		half := len(l.data.Runs) / 2
		l.data.Dropped += uint64(len(l.data.Runs) - half)
		l.data.Runs = slices.Clone(l.data.Runs[len(l.data.Runs)-half:])
	}
	l.data.Runs = append(l.data.Runs, run)
	return run.ID
}

func (l *ledger) end(id uint64, how RunEnd, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i, found := slices.BinarySearchFunc(l.data.Runs, id, func(r Run, id uint64) int {
		return int(int64(r.ID) - int64(id))
	})
	if !found {
		return
	}
	l.data.Runs[i].FinishedAt = now
	l.data.Runs[i].End = how
}

func (l *ledger) snapshot() Ledger {
	l.mu.Lock()
	defer l.mu.Unlock()
	copied := l.data
	copied.Runs = slices.Clone(l.data.Runs)
	return copied
}

func (l *ledger) clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.data = Ledger{}
}

func sinceMs(unixNano int64, now time.Time) float64 {
	return float64(now.UnixNano()-unixNano) / float64(time.Millisecond)
}

func (u *Upstream) serveLedger(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete {
		u.ledger.clear()
		w.WriteHeader(http.StatusNoContent)
		return
	}
	l := u.ledger.snapshot()
	if key := r.URL.Query().Get("key"); key != "" {
		l.Runs = slices.DeleteFunc(l.Runs, func(run Run) bool { return run.Key != key })
	}
	writeJSON(w, l)
}
