package httpserver

import (
	"cmp"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azureflow/azureflow/internal/memory"
)

// CallerLimits bounds what a caller may send, and how long it may take or stay idle.
type CallerLimits struct {
	HeadBytes   int           // of a request
	HeadTimeout time.Duration // from the first byte of a head to its end
	IdleTimeout time.Duration // of a connection without a request
}

// Limits bounds what the connections of several servers use together. Connections that hold most and do least are closed
// first. A nil Limits has no bounds.
type Limits struct {
	memory   *memory.Account
	maxConns int // 0: no limit
	report   func(reason Reason, caller string)
	open     atomic.Int64 // connections
	waiting  atomic.Int64 // requests that wait for memory

	mu            sync.Mutex
	servers       []*Server
	lastReclaimed time.Time
}

// Reason says why a connection was closed or a request refused although it is valid.
type Reason string

// Reasons of closed connections and refused requests.
const (
	ReasonConnections Reason = "connections"  // a new connection beyond the limit, while no other one could be closed
	ReasonIdle        Reason = "idle"         // a connection without a request made room for a new one
	ReasonPartialHead Reason = "partial-head" // the same, its head did not go on
	ReasonStalledBody Reason = "stalled-body" // a body that did not go on made room
	ReasonUnread      Reason = "unread"       // a caller that does not read its response made room for a new connection
	ReasonSlowBody    Reason = "slow-body"    // a body came more slowly than minBodyRate
	ReasonNoMemory    Reason = "no-memory"    // a request found no room for its head or body
)

// NewLimits returns Limits of memory and number of connections, 0: any number. report is called for each closed
// connection and refused request with the caller's address; it must not block.
func NewLimits(account *memory.Account, maxConns int, report func(reason Reason, caller string)) *Limits {
	return &Limits{memory: account, maxConns: maxConns, report: report}
}

const (
	// ConnBytes is what an open connection takes: two goroutines' stacks and a read buffer.
	ConnBytes = 24 << 10
	// fieldBytes is what a header field takes beyond its text, in the request and in the one to the server.
	fieldBytes = 256
	// maxRoomWait bounds how long a sender is held up for want of memory before its request is refused. Those who hold
	// memory without sending lose it after minStall.
	maxRoomWait      = time.Second
	roomPollInterval = 50 * time.Millisecond
	// Those that wait may have waitingShare of the account beside it in their sockets, at socketBytes each, the receive
	// buffer with which Linux begins. Others are refused at once.
	waitingShare = 1.0 / 8
	socketBytes  = 128 << 10
	// minStall is how long nothing came of a body before it may be given up for others. It is several times the delay
	// between regions.
	minStall = 500 * time.Millisecond
	// minUnread is how long a response was not taken before its connection may be closed for new ones.
	minUnread = 10 * time.Second
	// A body may take bodyGrace, and more at minBodyRate, in which nothing is to be read. The slowest links of callers
	// carry thousands of times as much.
	bodyGrace   = 10 * time.Second
	minBodyRate = 1 << 10 // bytes a second
	// evictedShare is the part of the connections that is closed at a time, so that a crowd costs one search in many
	// connections.
	evictedShare = 1.0 / 32
	// heavyShare is the part of all connections beyond which those of one caller are closed first.
	heavyShare = 1.0 / 4
)

// isTooSlow reports whether a caller that was waited for so long has sent too little of a body.
func isTooSlow(waited time.Duration, received int64) bool {
	return waited > bodyGrace+time.Duration(received)*(time.Second/minBodyRate)
}

// add includes the connections of a server.
func (l *Limits) add(s *Server) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.servers = append(l.servers, s)
}

// admit reserves what a new connection takes, and closes others to make room. It returns false if there is none.
func (l *Limits) admit(caller net.Addr, now time.Time) bool {
	if l == nil {
		return true
	}
	open := int(l.open.Add(1))
	batch := l.batch()
	isFull := l.maxConns > 0 && open > l.maxConns
	if isFull {
		l.evict(now, func(candidates []candidate, closing int) []candidate {
			return chooseForConnections(candidates, open-closing-l.maxConns+batch-1, l.maxConns, now)
		})
		// Those that were closed are open until they notice it.
		isFull = open > l.maxConns+batch
	}
	hasMemory := isFull || l.memory.TryReserve(ConnBytes)
	if !hasMemory {
		l.makeRoom(now) // for those that come next
	}
	if isFull || !hasMemory {
		l.open.Add(-1)
		l.reportAddr(ReasonConnections, caller)
		return false
	}
	return true
}

// batch returns how many connections are closed at a time.
func (l *Limits) batch() int { return max(1, int(evictedShare*float64(l.maxConns))) }

// makeRoom closes some connections, since the process has no descriptor left for a new one.
func (l *Limits) makeRoom(now time.Time) {
	if l == nil {
		return
	}
	l.evict(now, func(candidates []candidate, closing int) []candidate {
		return chooseForConnections(candidates, l.batch()-closing, l.maxConns, now)
	})
}

// remove returns what a connection took.
func (l *Limits) remove() {
	if l == nil {
		return
	}
	l.open.Add(-1)
	l.memory.Release(ConnBytes)
}

func (l *Limits) reportAddr(reason Reason, caller net.Addr) {
	if l.report == nil {
		return
	}
	address := ""
	if caller != nil {
		address = caller.String()
	}
	l.report(reason, address)
}

// tryReserve reserves n bytes if there is room.
func (l *Limits) tryReserve(n int64) bool { return l == nil || l.memory.TryReserve(n) }

// reserve reserves n bytes for a caller whose connection is not read meanwhile. It waits for maxRoomWait and until due at
// most; zero: any time. Errors: *memory.NoRoomError.
func (l *Limits) reserve(c *conn, n int64, due time.Time) error {
	if l.tryReserve(n) {
		return nil
	}
	c.awaitsRoom.Store(true)
	defer c.awaitsRoom.Store(false)
	limit := maxRoomWait
	if !due.IsZero() {
		limit = min(limit, time.Until(due))
	}
	if l.waiting.Add(1) > l.maxWaiting() {
		limit = 0
	}
	defer l.waiting.Add(-1)
	err := l.memory.Await(c.ctx.Done(), n, limit, roomPollInterval, func() { l.reclaim(time.Now()) })
	if err != nil {
		l.reportAddr(ReasonNoMemory, c.raw.RemoteAddr())
	}
	return err
}

// maxWaiting returns how many requests may wait for memory. What their sockets hold unread is part of the VM's memory.
func (l *Limits) maxWaiting() int64 {
	return max(1, int64(waitingShare*float64(l.memory.Capacity()))/socketBytes)
}

func (l *Limits) release(n int64) {
	if l != nil {
		l.memory.Release(n)
	}
}

// reclaim gives up bodies that do not go on, for those that wait for memory.
func (l *Limits) reclaim(now time.Time) {
	l.mu.Lock()
	isEarly := now.Sub(l.lastReclaimed) < roomPollInterval
	if !isEarly {
		l.lastReclaimed = now
	}
	l.mu.Unlock()
	if !isEarly {
		l.evict(now, func(candidates []candidate, _ int) []candidate {
			return chooseForMemory(candidates, l.memory.Wanted(), now)
		})
	}
}

// evict closes the connections that choose returns. closing is the number of those that are being closed.
func (l *Limits) evict(now time.Time, choose func(candidates []candidate, closing int) []candidate) {
	var candidates []candidate
	closing := 0
	for _, c := range l.openConns() {
		candidate, isClosing := c.candidate(now)
		if isClosing {
			closing++
		} else if candidate.reason != "" {
			candidates = append(candidates, candidate)
		}
	}
	for _, chosen := range choose(candidates, closing) {
		if chosen.conn.evict(chosen.reason, now) {
			l.reportAddr(chosen.reason, chosen.conn.raw.RemoteAddr())
		}
	}
}

func (l *Limits) openConns() []*conn {
	l.mu.Lock()
	servers := slices.Clone(l.servers)
	l.mu.Unlock()
	var conns []*conn
	for _, s := range servers {
		conns = append(conns, s.openConns()...)
	}
	return conns
}

// Sweep gives up bodies that come too slowly. It is to be called about each second.
func (l *Limits) Sweep(now time.Time) {
	if l == nil {
		return
	}
	for _, c := range l.openConns() {
		if c.giveUpSlowBody(now) {
			l.reportAddr(ReasonSlowBody, c.raw.RemoteAddr())
		}
	}
}

// OpenConns returns the number of open connections.
func (l *Limits) OpenConns() int64 {
	if l == nil {
		return 0
	}
	return l.open.Load()
}

// candidate is a connection that may be closed for others.
type candidate struct {
	conn   *conn
	caller string // IP
	reason Reason // why it may be closed
	since  time.Time
	bytes  int64 // that its requests hold
}

// rank orders reasons by what closing costs the caller.
var rank = map[Reason]int{ReasonIdle: 0, ReasonPartialHead: 1, ReasonStalledBody: 2, ReasonUnread: 3}

// chooseForConnections returns up to count connections to close for new ones, when crowds open more than limit:
// those of callers with a large part of all first, then those whose end costs least, then those that did nothing for
// longest.
func chooseForConnections(candidates []candidate, count, limit int, now time.Time) []candidate {
	conns := make(map[string]int)
	for i := range candidates {
		conns[candidates[i].caller]++
	}
	isHeavy := func(c *candidate) bool { return float64(conns[c.caller]) > heavyShare*float64(limit) }
	candidates = slices.DeleteFunc(candidates, func(c candidate) bool {
		idle := now.Sub(c.since)
		return c.reason == ReasonStalledBody && idle < minStall || c.reason == ReasonUnread && idle < minUnread
	})
	slices.SortFunc(candidates, func(a, b candidate) int {
		switch heavyA, heavyB := isHeavy(&a), isHeavy(&b); {
		case heavyA && !heavyB:
			return -1
		case heavyB && !heavyA:
			return 1
		}
		return cmp.Or(cmp.Compare(rank[a.reason], rank[b.reason]), a.since.Compare(b.since))
	})
	return candidates[:min(max(0, count), len(candidates))]
}

// chooseForMemory returns connections whose bodies do not go on and which hold wanted bytes together, when crowds hold
// what others need: those of the caller that holds most first, then the largest.
func chooseForMemory(candidates []candidate, wanted int64, now time.Time) []candidate {
	held := make(map[string]int64)
	candidates = slices.DeleteFunc(candidates, func(c candidate) bool {
		return c.reason != ReasonStalledBody || now.Sub(c.since) < minStall || c.bytes == 0
	})
	for i := range candidates {
		held[candidates[i].caller] += candidates[i].bytes
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(held[b.caller], held[a.caller]), cmp.Compare(b.bytes, a.bytes), a.since.Compare(b.since))
	})
	for i := range candidates {
		if wanted <= 0 {
			return candidates[:i]
		}
		wanted -= candidates[i].bytes
	}
	return candidates
}
