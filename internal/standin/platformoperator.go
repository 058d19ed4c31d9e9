package standin

import (
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"github.com/azureflow/azureflow/internal/refplatform"
	"github.com/azureflow/azureflow/internal/standin/memkv"
	"github.com/azureflow/azureflow/internal/vm"
)

// maxOperatorBody bounds the body of an operator's request, in bytes.
const maxOperatorBody = 1 << 20

// PlatformFaults are the faults that PUT /faults switches on.
type PlatformFaults struct {
	Down         bool   `json:"down"`
	DelayMs      int64  `json:"delay_ms"`
	LoseAnswers  int    `json:"lose_answers"`
	LoseRequests int    `json:"lose_requests"`
	WatchSilent  bool   `json:"watch_silent"`
	Stale        string `json:"stale"` // name of a snapshot from which reads are answered
	VMListDown   bool   `json:"vm_list_down"`
	VMListLagMs  *int64 `json:"vm_list_lag_ms,omitempty"` // for all clients; absent: unchanged
}

func (p *Platform) operatorRoutes(r *mux.Router) {
	r.HandleFunc("/operator/vms", p.operatorVMs).Methods(http.MethodGet)
	r.HandleFunc("/operator/vms/{name}", p.putVM).Methods(http.MethodPut)
	r.HandleFunc("/operator/vms/{name}", p.deleteVM).Methods(http.MethodDelete)
	r.HandleFunc("/operator/vms/{name}/leaving", p.leaveVM).Methods(http.MethodPost)
	r.HandleFunc("/operator/counts", p.counts).Methods(http.MethodGet)
	r.HandleFunc("/faults", p.getFaults).Methods(http.MethodGet)
	r.HandleFunc("/faults", p.putFaults).Methods(http.MethodPut)
	r.HandleFunc("/snapshots/{name}", p.takeSnapshot).Methods(http.MethodPost)
	r.HandleFunc("/snapshots/{name}/restore", p.restoreSnapshot).Methods(http.MethodPost)
}

// SetFaults replaces the faults of one client, or with "" those of all.
func (p *Platform) SetFaults(client string, f PlatformFaults) {
	p.mu.Lock()
	p.faults[client] = f
	stale := p.snapshots[f.Stale]
	p.mu.Unlock()
	if f.VMListLagMs != nil {
		p.vms.setLag(time.Duration(*f.VMListLagMs) * time.Millisecond)
	}
	faults := memkv.Faults{
		Down:         f.Down,
		Delay:        time.Duration(f.DelayMs) * time.Millisecond,
		LoseAnswers:  f.LoseAnswers,
		LoseRequests: f.LoseRequests,
		WatchSilent:  f.WatchSilent,
		Stale:        stale,
	}
	if client == "" {
		p.store.SetStoreFaults(faults)
		return
	}
	p.clientNamed(client).SetFaults(faults)
}

// listDown reports whether the VM list is down for a client.
func (p *Platform) listDown(client string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults[""].VMListDown || p.faults[client].VMListDown
}

func (p *Platform) listVMs(w http.ResponseWriter, r *http.Request) {
	if p.listDown(r.Header.Get(refplatform.HeaderClient)) {
		writePlatformProblem(w, http.StatusServiceUnavailable, refplatform.Problem{Code: refplatform.CodeUnavailable})
		return
	}
	writeTagged(w, r, refplatform.VMsResponse{VMs: p.vms.lagged()})
}

// writeTagged answers with value and its entity tag, or that the caller has it. An answer that takes more
// than a packet is compressed if the caller takes that.
func writeTagged(w http.ResponseWriter, r *http.Request, value any) {
	const packetBytes = 1400
	body, err := json.Marshal(value)
	if err != nil {
		writePlatformProblem(w, http.StatusInternalServerError, refplatform.Problem{Code: refplatform.CodeInvalid, Detail: err.Error()})
		return
	}
	etag := fmt.Sprintf(`"%016x"`, xxhash.Sum64(body))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if len(body) <= packetBytes || !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		_, _ = w.Write(body)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	zip := gzip.NewWriter(w)
	_, _ = zip.Write(body)
	_ = zip.Close()
}

func (p *Platform) operatorVMs(w http.ResponseWriter, _ *http.Request) {
	writePlatformJSON(w, http.StatusOK, refplatform.VMsResponse{VMs: p.vms.now()})
}

func (p *Platform) putVM(w http.ResponseWriter, r *http.Request) {
	var v vm.VM
	if !readOperatorBody(w, r, &v) {
		return
	}
	v.Name = vm.Name(mux.Vars(r)["name"])
	p.PutVM(v)
	writePlatformJSON(w, http.StatusOK, v)
}

func (p *Platform) deleteVM(w http.ResponseWriter, r *http.Request) {
	p.RemoveVM(vm.Name(mux.Vars(r)["name"]))
	writePlatformJSON(w, http.StatusOK, struct{}{})
}

func (p *Platform) leaveVM(w http.ResponseWriter, r *http.Request) {
	name := mux.Vars(r)["name"]
	if !p.vms.markLeaving(vm.Name(name)) {
		writePlatformProblem(w, http.StatusNotFound, refplatform.Problem{Code: refplatform.CodeNotFound, Key: name})
		return
	}
	writePlatformJSON(w, http.StatusOK, struct{}{})
}

func (p *Platform) counts(w http.ResponseWriter, _ *http.Request) {
	writePlatformJSON(w, http.StatusOK, p.store.StoreCounts())
}

func (p *Platform) getFaults(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	f := p.faults[r.URL.Query().Get("client")]
	p.mu.Unlock()
	writePlatformJSON(w, http.StatusOK, f)
}

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	var f PlatformFaults
	if !readOperatorBody(w, r, &f) {
		return
	}
	p.SetFaults(r.URL.Query().Get("client"), f)
	writePlatformJSON(w, http.StatusOK, f)
}

func (p *Platform) takeSnapshot(w http.ResponseWriter, r *http.Request) {
	snapshot := p.store.Snapshot()
	p.mu.Lock()
	p.snapshots[mux.Vars(r)["name"]] = snapshot
	p.mu.Unlock()
	writePlatformJSON(w, http.StatusOK, refplatform.VersionResponse{Version: snapshot.Version()})
}

func (p *Platform) restoreSnapshot(w http.ResponseWriter, r *http.Request) {
	name := mux.Vars(r)["name"]
	p.mu.Lock()
	snapshot, ok := p.snapshots[name]
	p.mu.Unlock()
	if !ok {
		writePlatformProblem(w, http.StatusNotFound, refplatform.Problem{Code: refplatform.CodeNotFound, Key: name})
		return
	}
	p.store.Restore(snapshot)
	writePlatformJSON(w, http.StatusOK, refplatform.VersionResponse{Version: snapshot.Version()})
}

// readOperatorBody decodes a JSON body strictly, or answers what is wrong.
func readOperatorBody(w http.ResponseWriter, r *http.Request, target any) bool {
	d := json.NewDecoder(io.LimitReader(r.Body, maxOperatorBody))
	d.DisallowUnknownFields()
	if err := d.Decode(target); err != nil {
		writePlatformProblem(w, http.StatusBadRequest, refplatform.Problem{Code: refplatform.CodeInvalid, Detail: err.Error()})
		return false
	}
	return true
}
