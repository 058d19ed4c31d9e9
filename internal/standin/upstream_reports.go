package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/azureflow/azureflow/internal/request"
)

// LoadReport is the JSON body of GET /load.
type LoadReport struct {
	InFlight int  `json:"in_flight"` // requests
	Queued   int  `json:"queued"`    // requests
	Slots    int  `json:"slots"`
	Draining bool `json:"draining"`
}

// reportHistory keeps past loads so that reports can lag.
type reportHistory struct {
	mu      sync.Mutex
	samples []loadSample // oldest first
}

type loadSample struct {
	at   time.Time
	load request.UpstreamLoad
}

// historySteps is how many samples cover the lag.
const historySteps = 256

func (h *reportHistory) add(at time.Time, load request.UpstreamLoad, lag time.Duration) {
	if lag <= 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := len(h.samples); n > 0 && at.Sub(h.samples[n-1].at) < lag/historySteps {
		return
	}
	h.samples = append(h.samples, loadSample{at: at, load: load})
	for len(h.samples) > 1 && at.Sub(h.samples[1].at) >= lag {
		h.samples = h.samples[1:]
	}
}

// before returns the last load known at the time at.
func (h *reportHistory) before(at time.Time) request.UpstreamLoad {
	h.mu.Lock()
	defer h.mu.Unlock()
	var load request.UpstreamLoad
	for _, s := range h.samples {
		if s.at.After(at) {
			break
		}
		load = s.load
	}
	return load
}

// report returns what the server says of itself: late, and wrong if a fault says so.
func (u *Upstream) report(now time.Time) request.UpstreamLoad {
	load := u.Load()
	if lag := u.options.ReportLag; lag > 0 {
		load = u.reports.before(now.Add(-lag))
		load.Slots = u.options.Slots
		drained := u.drainedAt.Load()
		load.Draining = drained != 0 && now.UnixNano()-drained >= int64(lag)
	}
	if n := u.faults.get().ReportInFlight; n != nil {
		load.InFlight = *n
	}
	return load
}

// formatLoad returns the value of the load header.
func formatLoad(l request.UpstreamLoad) string {
	draining := 0
	if l.Draining {
		draining = 1
	}
	return fmt.Sprintf("in_flight=%d, queued=%d, slots=%d, draining=%d", l.InFlight, l.Queued, l.Slots, draining)
}

func (u *Upstream) serveLoad(w http.ResponseWriter, r *http.Request) {
	u.conns.touch(r.RemoteAddr, time.Now())
	l := u.report(time.Now())
	writeJSON(w, LoadReport{InFlight: l.InFlight, Queued: l.Queued, Slots: l.Slots, Draining: l.Draining})
}

func (u *Upstream) serveHealth(w http.ResponseWriter, r *http.Request) {
	u.conns.touch(r.RemoteAddr, time.Now())
	drained := u.drainedAt.Load()
	draining := drained != 0 && time.Now().UnixNano()-drained >= int64(u.options.HealthLag)
	if says := u.faults.get().Health; says != "" {
		draining = says == "draining"
	}
	if draining {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte("draining\n"))
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

func (u *Upstream) serveDrain(w http.ResponseWriter, r *http.Request) {
	u.SetDraining(r.Method == http.MethodPost)
	w.WriteHeader(http.StatusNoContent)
}

func (u *Upstream) serveRestart(w http.ResponseWriter, _ *http.Request) {
	u.Restart()
	w.WriteHeader(http.StatusNoContent)
}

func (u *Upstream) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f UpstreamFaults
	switch r.Method {
	case http.MethodPut:
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		u.SetFaults(f)
	case http.MethodDelete:
		u.SetFaults(f)
	}
	writeJSON(w, u.faults.get())
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
