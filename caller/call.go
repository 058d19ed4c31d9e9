package caller

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/azureflow/azureflow/internal/request"
)

// callRequest is what a call asks for.
type callRequest struct {
	service string
	method  string
	path    string
	body    callBody
	opts    CallOptions
}

// call is one request on its way through one or more entry VMs.
type call struct {
	*callRequest
	client   *Client
	key      string
	id       string // names a call that may run more than once; the same on each sending
	first    bool   // the key was made here: nobody has seen it
	safe     bool   // may run more than once
	previous []string

	deadline time.Time
	results  chan *sending
	pending  int
	sendings int
	next     int      // into the entry VMs: the next that was not used
	repeated bool     // an entry VM was sent the call a second time, on a new connection
	unknown  *sending // a sending that may have run
	notRun   *sending // the last that certainly did not
}

// sending is one request to one entry VM and what became of it.
type sending struct {
	entry    EntryVM
	reused   atomic.Bool // it went out on a connection that was open before
	cancel   context.CancelFunc
	answer   *Answer
	refusal  Refusal
	outcome  request.Outcome
	rejected bool // the entry VM answered with a refusal of its own
	err      error
	arrived  int // sendings of the call that the entry VM counted, this one included; 0: it did not say
}

// run sends the call to one entry VM after another until the outcome is certain or the time is over.
// While a sending stays silent, the next one is started beside it.
func (c *call) run(ctx context.Context, entries []EntryVM) (*Answer, error) {
	ctx, cancel := c.withDeadline(ctx)
	c.results = make(chan *sending, c.client.opts.MaxSendings)
	c.client.budget.Deposit(resendShare)
	var started []*sending
	winner, err := c.loop(ctx, entries, &started)
	if winner == nil {
		cancel()
	}
	c.cancelOthers(started, winner)
	if err != nil {
		return nil, err
	}
	answer := winner.answer
	answer.Body = &answerBody{ReadCloser: answer.Body, cancel: cancel}
	return answer, nil
}

func (c *call) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if deadline, ok := ctx.Deadline(); ok {
		c.deadline = deadline
		return context.WithCancel(ctx)
	}
	c.deadline = time.Now().Add(c.client.opts.Timeout)
	return context.WithDeadline(ctx, c.deadline)
}

// loop returns the sending whose answer is the call's.
func (c *call) loop(ctx context.Context, entries []EntryVM, started *[]*sending) (*sending, error) {
	next := c.start(ctx, entries, started)
	for c.pending > 0 {
		silent := time.NewTimer(c.silentAfter())
		select {
		case s := <-c.results:
			silent.Stop()
			c.pending--
			if c.take(s) {
				c.refund(*started, s)
				return s, nil
			}
			if next && c.pending == 0 && c.mayMove(s) {
				next = c.start(ctx, entries, started)
			}
		case <-silent.C:
			c.client.connections.suspect()
			if next && ctx.Err() == nil && c.mayDouble() {
				next = c.start(ctx, entries, started)
			}
		case <-ctx.Done():
			silent.Stop()
			return nil, c.failure(ctx.Err())
		}
	}
	return nil, c.failure(ctx.Err())
}

// mayDouble reports whether the call may run beside a silent sending of it. What may not run twice is
// not sent to an upstream twice by a second entry VM, so that it costs no budget.
func (c *call) mayDouble() bool { return !c.safe || c.client.budget.TryWithdraw(0) }

// refund gives the budget back what the second sending to the first entry VM cost, if that VM got no other one: the first
// sending was lost with its connection.
func (c *call) refund(started []*sending, winner *sending) {
	if c.repeated && winner == started[1] && winner.arrived == 1 {
		c.client.budget.Refund()
	}
}

// silentAfter returns how long to wait for a sending before the next one is started beside it.
func (c *call) silentAfter() time.Duration {
	left := time.Until(c.deadline) / silentDeadlineParts
	return max(time.Millisecond, min(left, c.client.opts.SilentAfter))
}

// start sends the call to the next entry VM. It returns false if there is no further one to try.
func (c *call) start(ctx context.Context, entries []EntryVM, started *[]*sending) bool {
	if c.sendings >= c.client.opts.MaxSendings || c.next >= len(entries) || c.sendings > 0 && !c.body.again() {
		return false
	}
	s := &sending{entry: c.choose(entries, *started)}
	c.sendings++
	c.pending++
	ctx, s.cancel = context.WithCancel(ctx)
	*started = append(*started, s)
	req, err := c.request(ctx, s.entry)
	if err != nil {
		s.outcome, s.err = request.OutcomeNotRun, err
		c.results <- s
		return false
	}
	if name := entryName(s.entry); !slices.Contains(c.previous, name) {
		c.previous = append(c.previous, name)
	}
	go c.send(req, s)
	return c.sendings < c.client.opts.MaxSendings && c.next < len(entries)
}

// choose returns the entry VM of the next sending. While the first one is silent on a connection that was open
// before, the connection is the likelier cause: its entry VM is near and ready for this caller, and is sent the call
// again on a new connection if it may run twice.
func (c *call) choose(entries []EntryVM, started []*sending) EntryVM {
	if c.safe && !c.repeated && c.pending == 1 && len(started) == 1 && started[0].reused.Load() {
		c.repeated = true
		return entries[c.next-1]
	}
	c.next++
	return entries[c.next-1]
}

// take notes a finished sending. It returns true if its answer is the call's.
func (c *call) take(s *sending) bool {
	if s.answer != nil {
		return true
	}
	if s.outcome == request.OutcomeNotRun {
		c.notRun = s
		c.forgetUnsent(s)
		return false
	}
	c.unknown = s
	return false
}

// forgetUnsent takes the entry VM of a sending that never reached it off the list of previous ones. The
// lookup that named it is out of date.
func (c *call) forgetUnsent(s *sending) {
	if s.rejected {
		return
	}
	c.client.lookups.expire(c.service)
	c.previous = slices.DeleteFunc(c.previous, func(name string) bool { return name == entryName(s.entry) })
}

// mayMove reports whether another entry VM could do better after s failed.
func (c *call) mayMove(s *sending) bool {
	if s.rejected {
		return false
	}
	return c.safe || c.key != ""
}

// failure returns the error of a call without an answer. Not-run needs proof from every sending.
func (c *call) failure(ctxErr error) error {
	if c.pending == 0 && c.unknown == nil && c.notRun != nil {
		return &NotRunError{Refusal: c.notRun.refusal, Cause: c.notRun.err}
	}
	e := &UnknownError{Key: c.key, Previous: c.previous, Cause: ctxErr}
	if c.unknown != nil {
		e.Refusal = c.unknown.refusal
		if c.unknown.err != nil {
			e.Cause = c.unknown.err
		}
	}
	return e
}

// cancelOthers cancels the sendings that lost. Those under way belong to their goroutines: only the
// pointers are compared.
func (c *call) cancelOthers(started []*sending, winner *sending) {
	for _, s := range started {
		if s != winner {
			s.cancel()
		}
	}
	if c.pending > 0 {
		go c.closeLate(c.pending)
	}
}

// closeLate closes the answers of sendings that lost.
func (c *call) closeLate(pending int) {
	for range pending {
		if s := <-c.results; s.answer != nil {
			_ = s.answer.Body.Close()
		}
	}
}

// request builds the request for one entry VM.
func (c *call) request(ctx context.Context, entry EntryVM) (*http.Request, error) {
	target := "http://" + entry.Address + "/" + c.service + c.path
	req, err := http.NewRequestWithContext(ctx, c.method, target, nil)
	if err != nil {
		return nil, err
	}
	c.body.attach(req)
	for name, values := range c.opts.Header {
		req.Header[http.CanonicalHeaderKey(name)] = values
	}
	left := time.Until(c.deadline)
	left -= min(left/answerMarginParts, maxAnswerMargin)
	req.Header.Set(request.HeaderTimeout, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	setIf(req.Header, request.HeaderOrigin, c.client.opts.Origin)
	setIf(req.Header, request.HeaderCaller, c.client.opts.Block)
	setIf(req.Header, request.HeaderPrevious, c.previousHeader())
	setIf(req.Header, request.HeaderCall, c.id)
	if c.key != "" {
		req.Header[wireIdempotency] = []string{c.key}
	}
	return req, nil
}

// wireIdempotency is the header's name in lower case, which servers read alike. net/http sends a
// request a second time by itself, even to a restarted entry VM, if it finds the canonical name.
var wireIdempotency = strings.ToLower(request.HeaderIdempotency)

func (c *call) previousHeader() string {
	switch {
	case c.safe:
		return ""
	case len(c.previous) > 0:
		return strings.Join(c.previous, ",")
	case c.first:
		return "none"
	default:
		return ""
	}
}

func setIf(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

func entryName(e EntryVM) string {
	return e.Name + "/" + strconv.FormatUint(e.Incarnation, 10)
}
