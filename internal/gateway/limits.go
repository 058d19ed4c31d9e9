package gateway

import (
	"math"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/azureflow/azureflow/internal/httpserver"
	"github.com/azureflow/azureflow/internal/memory"
)

// Parts of the sockets of a VM. The rest is for connections to servers, at most one for each request of a caller, and to
// the store.
const (
	callerShare = 1.0 / 2 // to callers
	peerShare   = 1.0 / 8 // from other entry VMs
)

// connMemoryShare is the part of the account for memory that connections of callers may take. The rest is for requests.
const connMemoryShare = 3.0 / 4

// maxCallerConns returns how many connections callers may have to all listeners together, 0: any number.
func (s *Settings) maxCallerConns() int {
	conns := shareOf(s.MaxSockets, callerShare)
	if s.Memory <= 0 {
		return conns
	}
	fitting := max(1, int(connMemoryShare*float64(memory.CapacityFor(s.Memory)))/httpserver.ConnBytes)
	if conns == 0 {
		return fitting
	}
	return min(conns, fitting)
}

// maxPeerConns returns how many connections other entry VMs may have to this one, 0: any number.
func (s *Settings) maxPeerConns() int { return shareOf(s.MaxSockets, peerShare) }

func shareOf(sockets int, share float64) int {
	if sockets <= 0 {
		return 0
	}
	return max(1, int(share*float64(sockets)))
}

func provideLimits(s *Settings, c *closures, r *prometheus.Registry) (*httpserver.Limits, error) {
	account := memory.NewAccount(memory.CapacityFor(s.Memory))
	limits := httpserver.NewLimits(account, s.maxCallerConns(), c.record)
	for _, gauge := range []prometheus.Collector{
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "azureflow", Name: "gateway_held_bytes", Help: "Bytes reserved for connections, requests and responses.",
		}, func() float64 { return float64(account.Used()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "azureflow", Name: "gateway_caller_connections", Help: "Open connections of callers to all listeners.",
		}, func() float64 { return float64(limits.OpenConns()) }),
	} {
		if err := r.Register(gauge); err != nil {
			return nil, err
		}
	}
	return limits, nil
}

// applyMemoryLimit keeps the Go runtime within the memory of the VM, unless the environment sets a limit of its own.
func applyMemoryLimit(s *Settings) {
	if s.Memory <= 0 || os.Getenv("GOMEMLIMIT") != "" || debug.SetMemoryLimit(-1) != math.MaxInt64 {
		return
	}
	debug.SetMemoryLimit(memory.HeapLimitFor(s.Memory))
}

const (
	// transitSlack is added to the operator's time for a head: segments that are lost on the way are sent again.
	transitSlack = 2 * time.Second
	// requestLineBytes is added to the operator's limit on header bytes, which may or may not include the request line.
	requestLineBytes = 4 << 10
)

// callerLimits returns the limits of the configuration in force, zeros where it sets none.
func (d *daemon) callerLimits() httpserver.CallerLimits {
	table := d.follower.Table()
	if table == nil {
		return httpserver.CallerLimits{}
	}
	limits := table.Limits()
	c := httpserver.CallerLimits{IdleTimeout: limits.IdleTimeout}
	if limits.HeaderBytes > 0 {
		c.HeadBytes = limits.HeaderBytes + requestLineBytes
	}
	if limits.HeaderTimeout > 0 {
		c.HeadTimeout = limits.HeaderTimeout + transitSlack
	}
	return c
}

// closureLogInterval is the time between two log lines for the same reason.
const closureLogInterval = time.Second

// closures counts and logs what is closed or refused to protect the VM.
type closures struct {
	metrics *Metrics
	log     logrus.FieldLogger

	mu       sync.Mutex
	lastLog  map[httpserver.Reason]time.Time
	unlogged map[httpserver.Reason]int
}

func newClosures(m *Metrics, log logrus.FieldLogger) *closures {
	return &closures{
		metrics: m, log: log, lastLog: make(map[httpserver.Reason]time.Time), unlogged: make(map[httpserver.Reason]int),
	}
}

// record counts one closed connection or refused request. It logs the first of a reason in closureLogInterval, with the
// number of those since the last line.
func (c *closures) record(reason httpserver.Reason, caller string) {
	c.metrics.closures.WithLabelValues(string(reason)).Inc()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unlogged[reason]++
	now := time.Now()
	if now.Sub(c.lastLog[reason]) < closureLogInterval {
		return
	}
	c.log.WithFields(logrus.Fields{"reason": reason, "caller": caller, "count": c.unlogged[reason]}).Warn("caller closed or refused")
	c.lastLog[reason], c.unlogged[reason] = now, 0
}
