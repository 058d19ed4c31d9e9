package forward

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azureflow/azureflow/internal/httpheader"
	"github.com/azureflow/azureflow/internal/placement"
	"github.com/azureflow/azureflow/internal/routing"
	"github.com/azureflow/azureflow/internal/steering"
)

// exchange is one request of a caller from its arrival to the end of its answer.
type exchange struct {
	h       *Handler
	w       http.ResponseWriter
	r       *http.Request
	start   time.Time
	end     time.Time // the final answer is due
	onTime  time.Time // an answer after it is late
	ctx     context.Context
	id      string
	version routing.Version
	route   *routing.Route
	service steering.ServiceName
	object  uint64
	body    *body

	sendings int
	ran      bool // may have run at a server
	tries    int  // sendings, also those that could not reach a server
	tried    []placement.ServerID
	last     *sending
	refusal  *placement.Refusal
}

// serve handles the request. It returns false if the answer was cut off; the caller's connection must then be
// closed, so that the answer does not look whole.
func (x *exchange) serve(table *routing.Table) bool {
	if err := x.takeBody(table.Limits().BodyBytes); err != nil {
		return x.refuseBody(err)
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), x.end)
	defer cancel()
	defer context.AfterFunc(x.h.ending, cancel)()
	x.ctx = ctx
	defer x.discardLast()
	for {
		query := x.query()
		to, refusal := x.h.opts.Chooser.Place(query, time.Now())
		if refusal != nil {
			x.refusal = refusal
			return x.refuse(refusal)
		}
		x.discardLast()
		s := x.send(to)
		x.finishSending(s)
		if !x.again(s) {
			return x.conclude(s)
		}
	}
}

// refuseBody answers a request whose body was not read whole, and which no server was sent.
func (x *exchange) refuseBody(err error) bool {
	var large *BodyTooLargeError
	var stalled *BodyStalledError
	switch {
	case errors.As(err, &large):
		x.fail(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge, 0)
	case !errors.As(err, &stalled):
		x.note(ReasonCallerDisconnected, 0)
		return false
	case x.h.ending.Err() != nil:
		x.fail(http.StatusServiceUnavailable, ReasonStopping, x.h.retryAfter(0))
	default:
		x.fail(http.StatusRequestTimeout, ReasonBodyStalled, 0)
	}
	return true
}

// discardLast gives up the connection that the last answer still needs, if any.
func (x *exchange) discardLast() {
	if x.last != nil && x.last.answer != nil {
		x.last.answer.discard()
	}
}

// query asks for the next server.
func (x *exchange) query() *placement.Query {
	now := time.Now()
	return &placement.Query{
		Route: x.route, Service: x.service, Object: x.object,
		TimeLeft: x.end.Sub(now), TargetLeft: x.onTime.Sub(now), Bytes: len(x.body.kept),
		Tried: x.tried, FirstAttempt: x.last == nil, Retry: x.sendings > 0, Random: rand.Float64(),
	}
}

// finishSending gives back what the sending held and notes what it showed.
func (x *exchange) finishSending(s *sending) {
	x.last = s
	x.tries++
	if !s.result.IsTransientShed() {
		x.tried = append(x.tried, s.to.Server)
	}
	if s.arrived {
		x.sendings++
	}
	if !s.notRun {
		x.ran = true
	}
	ejected := x.h.opts.Chooser.RecordResult(s.to, &s.result, time.Now())
	x.h.opts.Journal.AttemptDone(&Attempt{
		RequestID: x.id, Service: x.service, Placement: s.to, Outcome: s.result.Outcome, Took: s.result.Latency,
		Err: s.err, Status: s.status(), Ejected: ejected,
	})
}

func (s *sending) status() int {
	if s.answer == nil {
		return 0
	}
	return s.answer.response.StatusCode
}

// maxTries is the number of sendings after which a request is sent once more at most.
const maxTries = 3

// again reports whether the request may and should be sent to another server.
func (x *exchange) again(s *sending) bool {
	if x.ctx.Err() != nil || !x.body.repeatable() || x.tries > maxTries {
		return false
	}
	switch s.result.Outcome {
	case placement.OutcomeSuccess, placement.OutcomeCancelled:
		return false
	}
	if s.notRun {
		return true
	}
	return x.route.Kind.Idempotent() && x.sendings < max(x.route.MaxAttempts, 1)
}

// refuse answers a request that no server is sent to. If an earlier sending may have run, nothing is promised.
func (x *exchange) refuse(r *placement.Refusal) bool {
	if x.ran {
		return x.conclude(x.last)
	}
	x.fail(http.StatusServiceUnavailable, Reason(r.Reason), x.h.retryAfter(r.RetryAfter))
	return true
}

// conclude passes on what the last sending brought, or says that it brought nothing.
func (x *exchange) conclude(s *sending) bool {
	switch {
	case x.r.Context().Err() != nil:
		x.note(ReasonCallerDisconnected, 0)
		return false
	case s.answer != nil && !s.notRun && (!refusal(s.status()) || x.route.Kind.Idempotent()):
		return x.deliver(s.answer)
	case !x.ran:
		x.fail(http.StatusServiceUnavailable, Reason(s.result.Outcome.String()), x.h.retryAfter(0))
	case x.h.ending.Err() != nil:
		x.fail(http.StatusGatewayTimeout, ReasonStopping, 0)
	case x.ctx.Err() != nil:
		x.fail(http.StatusGatewayTimeout, ReasonTimeout, 0)
	default:
		x.fail(http.StatusBadGateway, Reason(s.result.Outcome.String()), 0)
	}
	return true
}

// deliver passes a server's answer on.
func (x *exchange) deliver(a *answer) bool {
	header := x.w.Header()
	httpheader.CopyEndToEnd(header, a.response.Header)
	for _, name := range []string{x.h.opts.Headers.Load, x.h.opts.Headers.Server, x.h.opts.Headers.Cold} {
		delete(header, http.CanonicalHeaderKey(name))
	}
	if a.whole && x.r.Method != http.MethodHead {
		header["Content-Length"] = []string{strconv.Itoa(len(a.held))}
	} else if a.response.ContentLength >= 0 {
		header["Content-Length"] = []string{strconv.FormatInt(a.response.ContentLength, 10)}
	}
	x.h.markLeaving(header)
	x.w.WriteHeader(a.response.StatusCode)
	_, err := x.w.Write(a.held)
	if err == nil && !a.whole {
		stop := a.conn.closeOn(x.ctx)
		_, err = io.Copy(x.w, a.response.Body)
		stop()
		_ = a.conn.raw.Close()
	}
	if err != nil {
		x.note(ReasonCutOff, a.response.StatusCode)
		return false
	}
	x.note(ReasonResponded, a.response.StatusCode)
	return true
}

// fail answers with a status of this entry VM's own.
func (x *exchange) fail(status int, reason Reason, retryAfter time.Duration) {
	header := x.w.Header()
	if x.id != "" {
		header[http.CanonicalHeaderKey(x.h.opts.Headers.RequestID)] = []string{x.id}
	}
	if retryAfter > 0 {
		header["Retry-After"] = []string{strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64)}
	}
	header["Content-Length"] = []string{"0"}
	x.h.markLeaving(header)
	x.w.WriteHeader(status)
	x.note(reason, status)
}

// note tells the journal how the request ended.
func (x *exchange) note(reason Reason, status int) {
	done := &FinishedRequest{
		RequestID: x.id, Reason: reason, Status: status, Took: time.Since(x.start), Attempts: x.sendings,
		Version: x.version, Service: x.service, Refusal: x.refusal, Late: !x.onTime.IsZero() && time.Now().After(x.onTime),
	}
	if x.route != nil {
		done.Route, done.Kind = x.route.Name, x.route.Kind
	}
	if x.last != nil {
		done.LastPlacement = x.last.to
	}
	x.h.opts.Journal.RequestDone(done)
}

// objectOf returns the hash of the object that the request concerns, 0 if it names none.
func objectOf(r *http.Request, route *routing.Route, cookie string) uint64 {
	if !route.Affinity {
		return 0
	}
	c, err := r.Cookie(cookie)
	if err != nil || c.Value == "" {
		return 0
	}
	return max(1, xxhash.Sum64String(route.Name+"\x00"+c.Value))
}

// cutQuery splits a request target at its first question mark.
func cutQuery(target string) (path, query string, asked bool) { return strings.Cut(target, "?") }

// readCloser gives a reader a Close without effect.
type readCloser struct{ io.Reader }

// Close implements io.Closer.
func (readCloser) Close() error { return nil }
