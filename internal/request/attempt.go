package request

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"go.opentelemetry.io/otel/trace"

	"github.com/azureflow/azureflow/internal/review"
)

// AttemptState is how far an attempt got.
type AttemptState uint8

// The states of an attempt.
const (
	// StatePrepared: no byte was sent.
	StatePrepared AttemptState = iota
	// StateWritten: at least one byte may have been sent.
	StateWritten
	// StateResponded: the header of a response arrived.
	StateResponded
)

// placementValidity is how long after the choice of its server an attempt may start to send. If the entry VM was paused
// in between, the placement has expired: the server may have started to leave.
const placementValidity = 2 * time.Second

// attempt is one attempt to send a request to one server.
type attempt struct {
	id        review.ID
	placement *Placement
	started   time.Time
	cancel    context.CancelFunc
	hooks     httptrace.ClientTrace

	mu           sync.Mutex
	conn         *sealableConn // the connection in use, nil until one is obtained
	startBytes   int64         // bytes written on conn before this attempt
	uncounted    bool          // a connection whose bytes cannot be counted was obtained
	reused       bool          // conn carried an earlier attempt
	ended        bool
	responded    bool
	unresponsive bool // closed because its connection transferred no byte for too long

	extra      bool // a retry or hedge
	hedge      bool
	superseded bool // another attempt of the same request responded first
	span       trace.Span
	body       *bodyView
	firstByte  time.Duration
	response   *http.Response
	load       *UpstreamLoad
}

// prepare adds the attempt's connection hook to ctx and returns the context of its request.
func (a *attempt) prepare(ctx context.Context) context.Context {
	ctx, a.cancel = context.WithCancel(ctx)
	a.hooks.GotConn = a.gotConn
	return httptrace.WithClientTrace(ctx, &a.hooks)
}

// gotConn is called before a byte is written. net/http calls it again when it replays a request on its own; in that
// case only the first connection may carry bytes.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*sealableConn)
	a.mu.Lock()
	defer a.mu.Unlock()
	if !ok {
		a.gotUncountedConn()
		return
	}
	if a.ended || a.hasSentLocked() || time.Since(a.started) > placementValidity {
		c.seal()
		return
	}
	a.conn = c
	a.reused = info.Reused
	a.startBytes = c.bytesWritten()
}

// gotUncountedConn records a connection whose bytes cannot be counted: from now on bytes may have been sent.
func (a *attempt) gotUncountedConn() {
	if a.uncounted || a.ended {
		a.cancel()
	}
	a.uncounted = true
}

func (a *attempt) hasSentLocked() bool {
	return a.uncounted || a.conn != nil && a.conn.bytesWritten() > a.startBytes
}

// progress is how far an attempt got when it ended.
type progress struct {
	state      AttemptState
	connected  bool // a connection was obtained
	superseded bool // another attempt of the same request responded first
	inactive   time.Duration
}

// notSent reports whether no byte was sent and none will be.
func (p *progress) notSent() bool { return p.state == StatePrepared }

// abandon ends an attempt. Its connection is closed and accepts no further writes, so that the returned state is final.
func (a *attempt) abandon() progress {
	silent := a.inactiveFor(time.Now())
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	a.cancel()
	p := progress{connected: a.conn != nil || a.uncounted, superseded: a.superseded, inactive: silent}
	if a.conn != nil {
		a.conn.seal()
	}
	switch {
	case a.responded:
		p.state = StateResponded
	case a.hasSentLocked():
		p.state = StateWritten
	}
	return p
}

// closeConn closes the connection of a response that cannot be trusted.
func (a *attempt) closeConn() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil {
		a.conn.seal()
	}
}

// inactiveFor returns how long the connection has transferred no byte; 0 if there is none yet.
func (a *attempt) inactiveFor(now time.Time) time.Duration {
	a.mu.Lock()
	c := a.conn
	a.mu.Unlock()
	if c == nil {
		return 0
	}
	since := now.Sub(a.started)
	return min(since, c.inactiveFor(now))
}

func (a *attempt) setResponse(resp *http.Response) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.responded = true
	a.response = resp
	a.firstByte = time.Since(a.started)
}

// reusedWithoutByte reports whether the attempt was sent on a reused connection and received no response.
func (a *attempt) reusedWithoutByte() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reused && !a.responded && a.hasSentLocked()
}

// supersede cancels an attempt because another attempt of its request responded first.
func (a *attempt) supersede() {
	a.mu.Lock()
	a.superseded = true
	a.mu.Unlock()
	a.cancel()
}

// closeUnresponsive closes the connection of a response that no longer makes progress.
func (a *attempt) closeUnresponsive() {
	a.mu.Lock()
	a.unresponsive = true
	a.mu.Unlock()
	a.closeConn()
}

func (a *attempt) wasUnresponsive() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.unresponsive
}
