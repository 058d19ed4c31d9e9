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

// callRequest holds the parameters of a call.
type callRequest struct {
	service string
	method  string
	path    string
	body    callBody
	opts    CallOptions
}

// call is one request, sent through one or more entry VMs.
type call struct {
	*callRequest
	client   *Client
	key      string
	id       string // identifies a call that may run more than once; the same in each attempt
	first    bool   // the key is new: no entry VM has received it
	safe     bool   // may run more than once
	previous []string

	deadline    time.Time
	results     chan *attempt
	pending     int
	attempts    int
	next        int      // index of the next unused entry VM
	reconnected bool     // the call was sent to the same entry VM a second time, on a new connection
	unknown     *attempt // the last attempt that may have run
	notRun      *attempt // the last attempt that certainly did not run
}

// attempt is one request to one entry VM and its result.
type attempt struct {
	entry        EntryVM
	reused       atomic.Bool // sent on a connection that was already open
	cancel       context.CancelFunc
	response     *Answer
	refusal      Refusal
	outcome      request.Outcome
	refused      bool // the entry VM itself refused the request
	err          error
	seenAttempts int // attempts of the call that the entry VM counted, including this one; 0: not reported
}

// run sends the call to one entry VM after another until the outcome is certain or the deadline passes.
// While an attempt is unresponsive, the next one is started in parallel.
func (c *call) run(ctx context.Context, entries []EntryVM) (*Answer, error) {
	ctx, cancel := c.withDeadline(ctx)
	c.results = make(chan *attempt, c.client.opts.MaxSendings)
	c.client.budget.Deposit(extraAttemptShare)
	var started []*attempt
	winner, err := c.awaitResponse(ctx, entries, &started)
	if winner == nil {
		cancel()
	}
	c.cancelOthers(started, winner)
	if err != nil {
		return nil, err
	}
	answer := winner.response
	answer.Body = &responseBody{ReadCloser: answer.Body, cancel: cancel}
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

// awaitResponse starts attempts and returns the first one with a response.
func (c *call) awaitResponse(ctx context.Context, entries []EntryVM, started *[]*attempt) (*attempt, error) {
	next := c.startAttempt(ctx, entries, started)
	for c.pending > 0 {
		timer := time.NewTimer(c.parallelDelay())
		select {
		case s := <-c.results:
			timer.Stop()
			c.pending--
			if c.onAttemptDone(s) {
				c.refundExtraAttempt(*started, s)
				return s, nil
			}
			if next && c.pending == 0 && c.mayFailOver(s) {
				next = c.startAttempt(ctx, entries, started)
			}
		case <-timer.C:
			c.client.connections.closeIdle()
			if next && ctx.Err() == nil && c.mayStartParallel() {
				next = c.startAttempt(ctx, entries, started)
			}
		case <-ctx.Done():
			timer.Stop()
			return nil, c.failure(ctx.Err())
		}
	}
	return nil, c.failure(ctx.Err())
}

// mayStartParallel reports whether another attempt may start in parallel to an unresponsive one. A call that must not
// run twice is not sent to an upstream twice by a second entry VM, so it needs no budget.
func (c *call) mayStartParallel() bool { return !c.safe || c.client.budget.TryWithdraw(0) }

// refundExtraAttempt returns the cost of the second attempt at the first entry VM to the budget if that VM received no
// other attempt: the first one was lost with its connection.
func (c *call) refundExtraAttempt(started []*attempt, winner *attempt) {
	if c.reconnected && winner == started[1] && winner.seenAttempts == 1 {
		c.client.budget.Refund()
	}
}

// parallelDelay returns how long to wait for an attempt before the next one is started in parallel.
func (c *call) parallelDelay() time.Duration {
	left := time.Until(c.deadline) / unresponsiveDeadlineDivisor
	return max(time.Millisecond, min(left, c.client.opts.SilentAfter))
}

// startAttempt sends the call to the next entry VM. It returns false if no further attempt is possible.
func (c *call) startAttempt(ctx context.Context, entries []EntryVM, started *[]*attempt) bool {
	if c.attempts >= c.client.opts.MaxSendings || c.next >= len(entries) || c.attempts > 0 && !c.body.isRepeatable() {
		return false
	}
	s := &attempt{entry: c.chooseEntryVM(entries, *started)}
	c.attempts++
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
	return c.attempts < c.client.opts.MaxSendings && c.next < len(entries)
}

// chooseEntryVM returns the entry VM of the next attempt. If the first attempt is unresponsive on a connection that
// was already open, the connection is the more likely cause: its entry VM is near and ready for this caller. A call
// that may run twice is therefore sent to the same entry VM again, on a new connection.
func (c *call) chooseEntryVM(entries []EntryVM, started []*attempt) EntryVM {
	if c.safe && !c.reconnected && c.pending == 1 && len(started) == 1 && started[0].reused.Load() {
		c.reconnected = true
		return entries[c.next-1]
	}
	c.next++
	return entries[c.next-1]
}

// onAttemptDone records a finished attempt. It returns true if the attempt has the response of the call.
func (c *call) onAttemptDone(s *attempt) bool {
	if s.response != nil {
		return true
	}
	if s.outcome == request.OutcomeNotRun {
		c.notRun = s
		c.removeUnsent(s)
		return false
	}
	c.unknown = s
	return false
}

// removeUnsent removes the entry VM of an attempt that never reached it from the list of previous entry VMs, and
// expires the lookup that returned it, which is outdated.
func (c *call) removeUnsent(s *attempt) {
	if s.refused {
		return
	}
	c.client.lookups.expire(c.service)
	c.previous = slices.DeleteFunc(c.previous, func(name string) bool { return name == entryName(s.entry) })
}

// mayFailOver reports whether the call may be sent to another entry VM after s failed.
func (c *call) mayFailOver(s *attempt) bool {
	if s.refused {
		return false
	}
	return c.safe || c.key != ""
}

// failure returns the error of a call without a response. It reports NotRunError only if every attempt
// certainly did not run.
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

// cancelOthers cancels all attempts except winner. Attempts in flight are owned by their goroutines, so
// only the pointers are compared.
func (c *call) cancelOthers(started []*attempt, winner *attempt) {
	for _, s := range started {
		if s != winner {
			s.cancel()
		}
	}
	if c.pending > 0 {
		go c.closeLateResponses(c.pending)
	}
}

// closeLateResponses closes the responses of attempts that finish after the call has ended.
func (c *call) closeLateResponses(pending int) {
	for range pending {
		if s := <-c.results; s.response != nil {
			_ = s.response.Body.Close()
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
	c.body.setOn(req)
	for name, values := range c.opts.Header {
		req.Header[http.CanonicalHeaderKey(name)] = values
	}
	left := time.Until(c.deadline)
	left -= min(left/responseMarginDivisor, maxResponseMargin)
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

// wireIdempotency is the header name in lower case, which servers treat as equal. If net/http finds the
// canonical name, it retries a request by itself, even to a restarted entry VM.
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
