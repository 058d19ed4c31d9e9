// Package demo runs the whole path of a deployment in one process over loopback connections.
package demo

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/azureflow/azureflow/internal/clock"
	"github.com/azureflow/azureflow/internal/steering"
)

// place is where an address stands.
type place struct {
	region steering.RegionName
	zone   steering.ZoneName
	caller bool
	host   string // tells processes at one place apart
}

// delays are the one-way delays of a deployment.
type delays struct {
	zones   time.Duration // between availability zones of a region
	callers time.Duration // between a caller and its region's entry VMs
}

// network connects loopback addresses with the delays, link rates and cuts of a deployment.
type network struct {
	delays delays
	wires  transport
	links  map[linkKey]*wire // fixed after construction

	mu     sync.RWMutex
	places map[string]place // by host:port
	cut    map[steering.ZoneName]cut
	dead   map[string]bool          // hosts whose processes were killed
	paused map[string]chan struct{} // hosts that neither send nor receive; closed when they go on
	open   map[*conn]bool
	closed bool

	// observe, if set, is told of every run of bytes that is sent, before it leaves. Set it before use.
	observe func(sent *transfer)
}

// transfer is a run of bytes that one end of a connection sends.
type transfer struct {
	conn     *conn
	from, to place
	answer   bool // sent by the end that accepted the connection
	data     []byte
}

type linkKey struct{ from, to steering.RegionName }

// transport is what the network's connections are made of.
type transport interface {
	listen(address string) (net.Listener, error)
	dial(ctx context.Context, address string) (net.Conn, error)
}

// tcp is the transport over loopback addresses.
type tcp struct{}

func (tcp) listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

func (tcp) dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// bitsPerMbit converts link capacities.
const bitsPerMbit = 1e6

func newNetwork(p *steering.Platform, d delays, t transport) *network {
	n := &network{
		wires:  t,
		delays: d,
		links:  make(map[linkKey]*wire),
		places: make(map[string]place),
		cut:    make(map[steering.ZoneName]cut),
		dead:   make(map[string]bool),
		paused: make(map[string]chan struct{}),
		open:   make(map[*conn]bool),
	}
	for _, l := range p.Links {
		n.links[linkKey{l.From, l.To}] = &wire{bytesPerS: l.CapacityMbit * bitsPerMbit / 8, delay: l.Delay.Std()}
	}
	return n
}

// put says where address stands.
func (n *network) put(address string, p place) {
	n.mu.Lock()
	n.places[address] = p
	n.mu.Unlock()
}

// cut says in which directions a zone is cut off from the other zones and the platform.
type cut struct {
	sends    bool // what it sends is lost
	receives bool // what it is sent is lost
}

// setCut cuts a zone off in both directions, or heals the cut.
func (n *network) setCut(zone steering.ZoneName, off bool) {
	n.setCutDirections(zone, cut{sends: off, receives: off})
}

// setCutDirections cuts a zone off in some directions.
func (n *network) setCutDirections(zone steering.ZoneName, c cut) {
	n.mu.Lock()
	n.cut[zone] = c
	n.mu.Unlock()
}

// silence makes every open connection lose what is sent on it from now on; new ones work.
func (n *network) silence() { n.silenceIf(func(*conn) bool { return true }) }

// silenceIf silences the open connections that match.
func (n *network) silenceIf(match func(c *conn) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.open {
		if match(c) {
			c.muted.Store(true)
		}
	}
}

// pause holds back what a host sends and is sent, as while its process is stopped, or lets it go on.
func (n *network) pause(host string, paused bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	gate := n.paused[host]
	switch {
	case paused && gate == nil:
		n.paused[host] = make(chan struct{})
	case !paused && gate != nil:
		close(gate)
		delete(n.paused, host)
	}
}

// awaitResume waits while from or to is paused, or until done is closed.
func (n *network) awaitResume(from, to place, done <-chan struct{}) {
	for {
		n.mu.RLock()
		gate := n.paused[from.host]
		if gate == nil {
			gate = n.paused[to.host]
		}
		n.mu.RUnlock()
		if gate == nil {
			return
		}
		select {
		case <-gate:
		case <-done:
			return
		}
	}
}

// kill breaks the connections of the processes on hosts and refuses new ones.
func (n *network) kill(hosts ...string) {
	n.mu.Lock()
	var broken []*conn
	for _, h := range hosts {
		n.dead[h] = true
	}
	for c := range n.open {
		if n.dead[c.from.host] || n.dead[c.to.host] {
			broken = append(broken, c)
		}
	}
	n.mu.Unlock()
	for _, c := range broken {
		c.breakOff()
	}
}

// close breaks every connection.
func (n *network) close() {
	n.mu.Lock()
	n.closed = true
	open := slices.Collect(maps.Keys(n.open))
	n.mu.Unlock()
	for _, c := range open {
		c.breakOff()
	}
}

// down reports whether the process on host was killed.
func (n *network) down(host string) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.dead[host]
}

func (n *network) isDead(from, to place) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.dead[from.host] || n.dead[to.host]
}

// dialer returns a dial function for a process at from.
func (n *network) dialer(from place) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, proto, address string) (net.Conn, error) {
		n.mu.RLock()
		to := n.places[address]
		n.mu.RUnlock()
		n.awaitResume(from, to, ctx.Done())
		if n.isDead(from, to) {
			return nil, &net.OpError{Op: "dial", Net: proto, Err: syscall.ECONNREFUSED}
		}
		if n.isCut(from, to) || n.isCut(to, from) {
			return nil, n.timeOut(ctx, proto)
		}
		const handshake = 2 // one-way delays
		if err := clock.Sleep(ctx, handshake*n.delay(from, to)); err != nil {
			return nil, err
		}
		raw, err := n.wires.dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return n.wrap(raw, from, to), nil
	}
}

// timeOut waits as long as a connection attempt without any answer does, and returns its error.
func (n *network) timeOut(ctx context.Context, proto string) error {
	const connectTimeout = time.Second
	if err := clock.Sleep(ctx, connectTimeout); err != nil {
		return err
	}
	return &net.OpError{Op: "dial", Net: proto, Err: syscall.ETIMEDOUT}
}

// isCut reports whether what is sent from one place to the other is lost. Callers of a region reach
// the entry VMs of its zones.
func (n *network) isCut(from, to place) bool {
	if (from.caller || to.caller) && from.region == to.region || from.zone == to.zone {
		return false
	}
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.cut[from.zone].sends || n.cut[to.zone].receives
}

func (n *network) delay(from, to place) time.Duration {
	d := time.Duration(0)
	if from.caller {
		d += n.delays.callers
	}
	link := n.links[linkKey{from.region, to.region}]
	switch {
	case link != nil:
		d += link.delay
	case from.zone != to.zone && !from.caller:
		d += n.delays.zones
	}
	return d
}

func (n *network) wrap(raw net.Conn, from, to place) net.Conn {
	d := n.delay(from, to)
	c := &conn{Conn: raw, network: n, from: from, to: to, closed: make(chan struct{})}
	c.out = newPipe(d, n.links[linkKey{from.region, to.region}])
	c.in = newPipe(d, n.links[linkKey{to.region, from.region}])
	n.mu.Lock()
	n.open[c] = true
	closed := n.closed
	n.mu.Unlock()
	go c.pumpOut()
	go c.pumpIn()
	if closed {
		c.breakOff()
	}
	return c
}
