// Package demo runs the whole path of a deployment in one process over loopback connections.
package demo

import (
	"context"
	"io"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

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
	cut    map[steering.ZoneName]bool
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

// wire is one direction of a link: it serialises bytes at its rate and keeps the peak use.
type wire struct {
	bytesPerS float64
	delay     time.Duration // one way

	mu      sync.Mutex
	freeAt  time.Time
	window  time.Time // begin of the current second
	sent    int64     // bytes in the window
	peakMax int64     // bytes a second
}

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
		cut:    make(map[steering.ZoneName]bool),
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

// setCut cuts a zone off from the other zones and the platform, or heals the cut.
func (n *network) setCut(zone steering.ZoneName, cut bool) {
	n.mu.Lock()
	n.cut[zone] = cut
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

// awaitResume waits while either end of a connection is paused.
func (n *network) awaitResume(c *conn) {
	for {
		n.mu.RLock()
		gate := n.paused[c.from.host]
		if gate == nil {
			gate = n.paused[c.to.host]
		}
		n.mu.RUnlock()
		if gate == nil {
			return
		}
		select {
		case <-gate:
		case <-c.closed:
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
		if n.isDead(from, to) {
			return nil, &net.OpError{Op: "dial", Net: proto, Err: syscall.ECONNREFUSED}
		}
		if n.isCut(from, to) {
			return nil, n.timeOut(ctx, proto)
		}
		const handshake = 2 // one-way delays
		if err := sleep(ctx, handshake*n.delay(from, to)); err != nil {
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
	if err := sleep(ctx, connectTimeout); err != nil {
		return err
	}
	return &net.OpError{Op: "dial", Net: proto, Err: syscall.ETIMEDOUT}
}

func (n *network) isCut(from, to place) bool {
	if from.caller && from.region == to.region || from.zone == to.zone {
		return false
	}
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.cut[from.zone] || n.cut[to.zone]
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

// take books n bytes and returns when the last of them has left the wire.
func (w *wire) take(bytes int, now time.Time) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.freeAt.Before(now) {
		w.freeAt = now
	}
	w.freeAt = w.freeAt.Add(time.Duration(float64(bytes) / w.bytesPerS * float64(time.Second)))
	if now.Sub(w.window) >= time.Second {
		w.window = now
		w.sent = 0
	}
	w.sent += int64(bytes)
	w.peakMax = max(w.peakMax, w.sent)
	return w.freeAt
}

// peakMbit returns the highest use in a second, in Mbit/s.
func (w *wire) peakMbit() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return float64(w.peakMax) * 8 / bitsPerMbit
}

// conn is a connection whose bytes arrive after the delay of its path, in both directions.
type conn struct {
	net.Conn
	network  *network
	from, to place
	out, in  *pipe
	muted    atomic.Bool
	once     sync.Once
	closed   chan struct{}
	rest     []byte // read but not yet taken
}

// Write queues b; it blocks while too much is queued.
func (c *conn) Write(b []byte) (int, error) {
	c.tell(&transfer{conn: c, from: c.from, to: c.to, data: b})
	if !c.out.put(append([]byte(nil), b...)) {
		return 0, net.ErrClosed
	}
	return len(b), nil
}

// Read returns bytes whose delay has passed.
func (c *conn) Read(b []byte) (int, error) {
	if len(c.rest) == 0 {
		data, ok := c.in.get()
		if !ok {
			return 0, io.EOF
		}
		c.rest = data
	}
	n := copy(b, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// Close closes both directions; bytes queued to be sent are sent first.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.network.mu.Lock()
		delete(c.network.open, c)
		c.network.mu.Unlock()
		c.out.close()
		c.in.close()
		close(c.closed)
	})
	return nil
}

// SetDeadline does nothing: the clients that use these connections cancel by closing them.
func (c *conn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing, as SetDeadline.
func (c *conn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing, as SetDeadline.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// breakOff ends the connection as the death of one end does.
func (c *conn) breakOff() {
	c.in.close()
	_ = c.Close()
	_ = c.Conn.Close()
}

func (c *conn) tell(t *transfer) {
	if observe := c.network.observe; observe != nil {
		observe(t)
	}
}

func (c *conn) lost() bool { return c.muted.Load() || c.network.isCut(c.from, c.to) }

func (c *conn) pumpOut() {
	defer func() { _ = c.Conn.Close() }()
	for {
		data, ok := c.out.get()
		if !ok {
			return
		}
		c.network.awaitResume(c)
		if c.lost() {
			continue
		}
		if _, err := c.Conn.Write(data); err != nil {
			return
		}
	}
}

func (c *conn) pumpIn() {
	const chunk = 32 << 10 // bytes
	for {
		buf := make([]byte, chunk)
		n, err := c.Conn.Read(buf)
		if n > 0 {
			c.tell(&transfer{conn: c, from: c.to, to: c.from, answer: true, data: buf[:n]})
		}
		c.network.awaitResume(c)
		if n > 0 && !c.lost() && !c.in.put(buf[:n]) {
			return
		}
		if err != nil {
			if !c.lost() {
				c.in.finish()
			}
			return
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
