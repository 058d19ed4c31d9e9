// Package standin holds small stand-ins for what the users run beside azureflow: the platform (store
// and VM list) and the upstreams. They serve tests, the demo and the standin command.
//
// # The platform over HTTP
//
// Answers are JSON; one that is not 200 holds a refplatform.Problem. The header Platform-Client names
// the client of a call, so that faults can be switched on for one client (for example a zone) alone.
//
//	GET    /v1/key?key=K                      an entry: key, value (base64), version
//	PUT    /v1/key?key=K&expect=V&lease=L     compare-and-swap of the body; expect 0: absent; lease 0: none
//	DELETE /v1/key?key=K&expect=V
//	GET    /v1/keys?prefix=P                  entries and the store's version
//	GET    /v1/watch?prefix=P&after=V         waits for changes after V; empty entries after max_watch
//	POST   /v1/leases?ttl_ms=N                a lease: id, ttl_ms, epoch
//	POST   /v1/lease?id=L                     renews
//	DELETE /v1/lease?id=L                     ends
//	GET    /v1/vms                            the VM list as it was a lag ago
//
// The operator's side, which stands for hands outside the system:
//
//	GET    /operator/vms                      the VMs as they are now
//	PUT    /operator/vms/NAME                 registers or replaces a VM; body: vm.VM
//	POST   /operator/vms/NAME/leaving         marks a VM as leaving
//	DELETE /operator/vms/NAME                 removes a VM
//	GET    /operator/counts                   calls by kind
//	GET    /faults                            the PlatformFaults in force
//	PUT    /faults                            replaces them; body: PlatformFaults
//	PUT    /faults?client=NAME                replaces those of one client
//	POST   /snapshots/NAME                    keeps the store's state under a name
//	POST   /snapshots/NAME/restore            puts the store back to it
//
// Faults: down answers 503 with code unavailable, lost requests and lost answers close the
// connection without an answer, before or after the effect.
package standin

import (
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/azureflow/azureflow/internal/refplatform"
	"github.com/azureflow/azureflow/internal/standin/memkv"
	"github.com/azureflow/azureflow/internal/vm"
)

// Defaults of PlatformOptions.
const (
	defaultVMListLag        = time.Second
	defaultPlatformMaxWatch = 20 * time.Second
)

// PlatformOptions configure a Platform.
type PlatformOptions struct {
	// VMListLag is how old the VM list is; default 1 s, negative for none.
	VMListLag time.Duration
	// MaxWatch is how long a watch waits before it is answered without entries; default 20 s.
	MaxWatch time.Duration
	// VMs are in the list from the start, without lag.
	VMs []vm.VM
}

// Platform stands in for the platform's store and VM list.
type Platform struct {
	store *memkv.Store
	vms   *vmLog

	mu        sync.Mutex
	clients   map[string]*memkv.Client
	snapshots map[string]*memkv.Snapshot
	faults    map[string]PlatformFaults // by client; "" for all
}

// NewPlatform returns a Platform with an empty store.
func NewPlatform(o PlatformOptions) *Platform {
	if o.VMListLag == 0 {
		o.VMListLag = defaultVMListLag
	}
	if o.MaxWatch == 0 {
		o.MaxWatch = defaultPlatformMaxWatch
	}
	return &Platform{
		store:     memkv.New(memkv.Options{MaxWatch: o.MaxWatch}),
		vms:       newVMLog(max(o.VMListLag, 0), o.VMs),
		clients:   make(map[string]*memkv.Client),
		snapshots: make(map[string]*memkv.Snapshot),
		faults:    make(map[string]PlatformFaults),
	}
}

// Store returns the store without HTTP between, for use in one process.
func (p *Platform) Store() *memkv.Store { return p.store }

// PutVM registers or replaces a VM; the list shows it after the lag.
func (p *Platform) PutVM(v vm.VM) { p.vms.put(v) }

// RemoveVM removes a VM; the list shows it until after the lag.
func (p *Platform) RemoveVM(name vm.Name) { p.vms.remove(name) }

// SetVMListLag changes the lag of the VM list.
func (p *Platform) SetVMListLag(lag time.Duration) { p.vms.setLag(lag) }

// Handler returns the HTTP interface that the package comment describes.
func (p *Platform) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(refplatform.PathKey, p.getKey).Methods(http.MethodGet)
	r.HandleFunc(refplatform.PathKey, p.putKey).Methods(http.MethodPut)
	r.HandleFunc(refplatform.PathKey, p.deleteKey).Methods(http.MethodDelete)
	r.HandleFunc(refplatform.PathKeys, p.listKeys).Methods(http.MethodGet)
	r.HandleFunc(refplatform.PathWatch, p.watch).Methods(http.MethodGet)
	r.HandleFunc(refplatform.PathLeases, p.grantLease).Methods(http.MethodPost)
	r.HandleFunc(refplatform.PathLease, p.renewLease).Methods(http.MethodPost)
	r.HandleFunc(refplatform.PathLease, p.endLease).Methods(http.MethodDelete)
	r.HandleFunc(refplatform.PathVMs, p.listVMs).Methods(http.MethodGet)
	p.operatorRoutes(r)
	return r
}

// client returns the store's client that a request names.
func (p *Platform) client(r *http.Request) *memkv.Client {
	return p.clientNamed(r.Header.Get(refplatform.HeaderClient))
}

func (p *Platform) clientNamed(name string) *memkv.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.clients[name]
	if !ok {
		c = p.store.NewClient(name)
		p.clients[name] = c
	}
	return c
}
