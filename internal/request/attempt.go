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

// AttemptState says how far an attempt came.
type AttemptState uint8

// The states of an attempt.
const (
	// StatePrepared: no byte has left.
	StatePrepared AttemptState = iota
	// StateWritten: a byte may have left.
	StateWritten
	// StateResponded: the header of an answer arrived.
	StateResponded
)

// placementLife is how long after the choice of its server an attempt may begin to send. An entry VM that was
// paused in between finds the choice lapsed: the server may have begun to leave.
const placementLife = 2 * time.Second

// attempt is one sending of a request to one server.
type attempt struct {
	id        review.ID
	placement *Placement
	started   time.Time
	cancel    context.CancelFunc
	hooks     httptrace.ClientTrace

	mu       sync.Mutex
	conn     *gatedConn // the connection in use, nil before one is got
	start    int64      // bytes written on conn before this attempt
	foreign  bool       // a connection that cannot be counted was got
	reused   bool       // conn carried another attempt before
	ended    bool
	answered bool
	silent   bool // cut because nothing moved on its connection

	extra     bool // a retry or hedge
	hedge     bool
	lost      bool // another attempt of the same request won
	span      trace.Span
	body      *bodyView
	firstByte time.Duration
	response  *http.Response
	load      *UpstreamLoad
}

// prepare hooks the attempt into ctx and returns the context of its request.
func (a *attempt) prepare(ctx context.Context) context.Context {
	ctx, a.cancel = context.WithCancel(ctx)
	a.hooks.GotConn = a.gotConn
	return httptrace.WithClientTrace(ctx, &a.hooks)
}

// gotConn is called before a byte is written. net/http may call it again to replay a request by
// itself; then no connection but the first may carry bytes.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*gatedConn)
	a.mu.Lock()
	defer a.mu.Unlock()
	if !ok {
		a.gotForeign()
		return
	}
	if a.ended || a.sentLocked() || time.Since(a.started) > placementLife {
		c.seal()
		return
	}
	a.conn = c
	a.reused = info.Reused
	a.start = c.count()
}

// gotForeign notes a connection whose bytes cannot be counted: from here on they may have left.
func (a *attempt) gotForeign() {
	if a.foreign || a.ended {
		a.cancel()
	}
	a.foreign = true
}

func (a *attempt) sentLocked() bool {
	return a.foreign || a.conn != nil && a.conn.count() > a.start
}

// progress is how far an attempt came when it ended.
type progress struct {
	state  AttemptState
	dialed bool // a connection was got
	lost   bool // another attempt of the same request won
	silent time.Duration
}

// notSent reports that no byte left and none will.
func (p *progress) notSent() bool { return p.state == StatePrepared }

// abandon ends an attempt: its connection is closed and sealed, so that the returned state is final.
func (a *attempt) abandon() progress {
	silent := a.silentFor(time.Now())
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	a.cancel()
	p := progress{dialed: a.conn != nil || a.foreign, lost: a.lost, silent: silent}
	if a.conn != nil {
		a.conn.seal()
	}
	switch {
	case a.answered:
		p.state = StateResponded
	case a.sentLocked():
		p.state = StateWritten
	}
	return p
}

// dropConn closes the connection under an answer that is not to be trusted.
func (a *attempt) dropConn() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil {
		a.conn.seal()
	}
}

// silentFor returns how long nothing moved on the connection; 0 if there is none yet.
func (a *attempt) silentFor(now time.Time) time.Duration {
	a.mu.Lock()
	c := a.conn
	a.mu.Unlock()
	if c == nil {
		return 0
	}
	since := now.Sub(a.started)
	return min(since, c.silentFor(now))
}

func (a *attempt) setAnswered(resp *http.Response) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answered = true
	a.response = resp
	a.firstByte = time.Since(a.started)
}

// reusedWithoutByte reports whether the attempt went out on a reused connection that brought nothing.
func (a *attempt) reusedWithoutByte() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reused && !a.answered && a.sentLocked()
}

// lose cancels an attempt because another one of its request won.
func (a *attempt) lose() {
	a.mu.Lock()
	a.lost = true
	a.mu.Unlock()
	a.cancel()
}

// cutSilent closes the connection of an answer on which nothing moves.
func (a *attempt) cutSilent() {
	a.mu.Lock()
	a.silent = true
	a.mu.Unlock()
	a.dropConn()
}

func (a *attempt) wasSilent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.silent
}
