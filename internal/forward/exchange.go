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
	"github.com/azureflow/azureflow/internal/memory"
	"github.com/azureflow/azureflow/internal/placement"
	"github.com/azureflow/azureflow/internal/routing"
	"github.com/azureflow/azureflow/internal/steering"
)

// exchange is one request of a caller from its arrival to the end of its response.
type exchange struct {
	h             *Handler
	w             http.ResponseWriter
	r             *http.Request
	start         time.Time
	deadline      time.Time // the final response is due
	lateAfter     time.Time // a response after this moment counts as late
	ctx           context.Context
	id            string
	version       routing.Version
	route         *routing.Route
	service       steering.ServiceName
	objectHash    uint64
	body          *body
	account       *routing.Account // nil: none
	keysConfirmed bool             // the keys of the configuration may be relied on
	// permittedUntil is when the permission that was taken from the account's quota expires; zero: none was taken.
	permittedUntil time.Time
	holder         memory.Holder
	// usesAccounts is true if the configuration has client accounts, so that keys are not passed on.
	usesAccounts bool

	attempts      int  // those that may have reached a server
	mayHaveRun    bool // the request may have run at a server
	totalAttempts int  // including those that could not reach a server
	triedServers  []placement.ServerID
	last          *attempt
	refusal       *placement.Refusal

	ordersAdmission bool      // requests without room wait in order
	returned        bool      // the caller was refused before and came back
	callerDeadline  time.Time // the caller gives up; not before deadline
	admission       AdmissionReport
}

// serve handles the request. It returns false if the response was cut off; the caller's connection must then be
// closed, so that the response does not look complete.
func (x *exchange) serve(table *routing.Table) bool {
	if err := x.receiveBody(table.Limits().BodyBytes); err != nil {
		return x.respondBodyError(err)
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	defer context.AfterFunc(x.h.abortCtx, cancel)()
	x.ctx = ctx
	if ok, retryAfter := x.takeQuota(); !ok {
		return x.respondOverQuota(retryAfter)
	}
	defer x.returnQuota()
	x.ordersAdmission = table.OrdersAdmission()
	defer x.discardLastResponse()
	for {
		if x.h.refusingRequests.Load() {
			return x.respondStopping()
		}
		to, refusal := x.place()
		if refusal != nil {
			x.refusal = refusal
			return x.respondRefusal(refusal)
		}
		if to == nil {
			return x.respondBrokenOffWait()
		}
		x.discardLastResponse()
		a := x.runAttempt(to)
		x.finishAttempt(a)
		if !x.shouldRetry(a) || !x.takeQuotaForRetry() {
			return x.respond(a)
		}
	}
}

// respondBodyError responds to a request whose body was not read completely and which was sent to no server.
func (x *exchange) respondBodyError(err error) bool {
	var large *BodyTooLargeError
	var stalled *BodyStalledError
	var noRoom *memory.NoRoomError
	switch {
	case errors.As(err, &noRoom):
		x.writeFailure(http.StatusServiceUnavailable, ReasonNoMemory, x.h.retryAfter(0))
	case errors.As(err, &large):
		x.writeFailure(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge, 0)
	case !errors.As(err, &stalled):
		x.reportFinished(ReasonCallerDisconnected, 0)
		return false
	case x.h.abortCtx.Err() != nil:
		x.writeFailure(http.StatusServiceUnavailable, ReasonStopping, x.h.retryAfter(0))
	default:
		x.writeFailure(http.StatusRequestTimeout, ReasonBodyStalled, 0)
	}
	return true
}

// discardLastResponse closes the connection that the last response still needs, if any.
func (x *exchange) discardLastResponse() {
	if x.last != nil && x.last.response != nil {
		x.last.response.discard()
	}
}

// place returns where to send the request next, or why it is refused. It returns neither if the request ended, or the
// process began to stop, while it waited for room.
func (x *exchange) place() (*placement.Placement, *placement.Refusal) {
	if x.ordersAdmission {
		return x.h.admissions.place(x)
	}
	now := time.Now()
	return x.h.opts.Chooser.Place(x.placementQuery(now), now)
}

// placementQuery returns the query for the server of the next attempt.
func (x *exchange) placementQuery(now time.Time) *placement.Query {
	return &placement.Query{
		Route: x.route, Account: x.account, Service: x.service, Object: x.objectHash,
		TimeLeft: x.deadline.Sub(now), TargetLeft: x.lateAfter.Sub(now), Bytes: x.body.size(),
		Tried: x.triedServers, FirstAttempt: x.last == nil, Retry: x.attempts > 0, Random: rand.Float64(),
	}
}

// finishAttempt releases what the attempt reserved at the chooser and records its result.
func (x *exchange) finishAttempt(a *attempt) {
	x.last = a
	x.totalAttempts++
	if !a.result.IsTransientShed() {
		x.triedServers = append(x.triedServers, a.to.Server)
	}
	if a.mayHaveArrived {
		x.attempts++
	}
	if !a.notRun {
		x.mayHaveRun = true
	}
	effect := x.h.opts.Chooser.RecordResult(a.to, &a.result, time.Now())
	if x.ordersAdmission {
		x.h.admissions.recordEnded(x.service)
	}
	x.h.opts.Journal.AttemptDone(&Attempt{
		RequestID: x.id, Service: x.service, Placement: a.to, Outcome: a.result.Outcome, Took: a.result.Latency,
		Err: a.err, Status: a.status(), Effect: effect,
	})
}

func (a *attempt) status() int {
	if a.response == nil {
		return 0
	}
	return a.response.http.StatusCode
}

// maxRetries bounds the attempts after the first one, including attempts that could not reach a server.
const maxRetries = 3

// shouldRetry reports whether the request may and should be sent to another server.
func (x *exchange) shouldRetry(a *attempt) bool {
	if x.ctx.Err() != nil || !x.body.isReplayable() || x.totalAttempts > maxRetries {
		return false
	}
	switch a.result.Outcome {
	case placement.OutcomeSuccess, placement.OutcomeCancelled:
		return false
	}
	if a.notRun {
		return true
	}
	return x.route.Kind.Idempotent() && x.attempts < max(x.route.MaxAttempts, 1)
}

// respondRefusal responds to a request that placement refused. If the request may have run in an earlier attempt, the
// response does not promise that it did not run.
func (x *exchange) respondRefusal(r *placement.Refusal) bool {
	if x.mayHaveRun {
		return x.respond(x.last)
	}
	retryAfter := x.h.retryAfter(r.RetryAfter)
	if x.ordersAdmission && r.IsForRoom() {
		retryAfter = r.RetryAfter // already spread over the callers
	}
	if r.Reason == placement.ReasonBackoff {
		retryAfter = max(retryAfter, r.RetryAfter) // no server accepts a request before that
	}
	x.writeFailure(http.StatusServiceUnavailable, Reason(r.Reason), retryAfter)
	return true
}

// respondBrokenOffWait responds to a request that ended, or met the stop of the process, while it waited for room.
func (x *exchange) respondBrokenOffWait() bool {
	if x.r.Context().Err() != nil {
		x.reportFinished(ReasonCallerDisconnected, 0)
		return false
	}
	return x.respondStopping()
}

// respondStopping responds to a request that would be sent to a server although the process ends too soon to serve it:
// its body arrived late, or a server refused it or failed.
func (x *exchange) respondStopping() bool {
	if x.mayHaveRun {
		return x.respond(x.last)
	}
	x.writeFailure(http.StatusServiceUnavailable, ReasonStopping, x.h.retryAfter(0))
	return true
}

// respond passes on the response of the last attempt, or a failure if there is none that may be passed on.
func (x *exchange) respond(a *attempt) bool {
	switch {
	case x.r.Context().Err() != nil:
		x.reportFinished(ReasonCallerDisconnected, 0)
		return false
	case a.response != nil && !a.notRun && (!isRefusal(a.status()) || x.route.Kind.Idempotent()):
		return x.writeResponse(a.response)
	case x.body.isTooLarge():
		x.writeFailure(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge, 0)
	case !x.mayHaveRun:
		x.writeFailure(http.StatusServiceUnavailable, Reason(a.result.Outcome.String()), x.h.retryAfter(0))
	case x.h.abortCtx.Err() != nil:
		x.writeFailure(http.StatusGatewayTimeout, ReasonStopping, 0)
	case x.ctx.Err() != nil:
		x.writeFailure(http.StatusGatewayTimeout, ReasonTimeout, 0)
	default:
		x.writeFailure(http.StatusBadGateway, Reason(a.result.Outcome.String()), 0)
	}
	return true
}

// writeResponse passes a server's response on to the caller.
func (x *exchange) writeResponse(resp *serverResponse) bool {
	header := x.w.Header()
	httpheader.CopyEndToEnd(header, resp.http.Header)
	for _, name := range []string{x.h.opts.Headers.Load, x.h.opts.Headers.Server, x.h.opts.Headers.Cold} {
		delete(header, http.CanonicalHeaderKey(name))
	}
	if resp.complete && x.r.Method != http.MethodHead {
		header["Content-Length"] = []string{strconv.Itoa(len(resp.buffered))}
	} else if resp.http.ContentLength >= 0 {
		header["Content-Length"] = []string{strconv.FormatInt(resp.http.ContentLength, 10)}
	}
	x.h.setConnectionClose(header)
	x.w.WriteHeader(resp.http.StatusCode)
	_, err := x.w.Write(resp.buffered)
	if err == nil && !resp.complete {
		resp.releaseBuffer()
		stop := resp.conn.interruptOn(x.ctx)
		err = x.copyBody(resp.http.Body)
		if err == nil {
			err = resp.awaitFraming(x.ctx)
		}
		stop()
		_ = resp.conn.raw.Close()
	}
	if err != nil {
		x.reportFinished(ReasonCutOff, resp.http.StatusCode)
		return false
	}
	x.reportFinished(ReasonResponded, resp.http.StatusCode)
	return true
}

// Sizes of the buffer through which a body is passed on.
const (
	copyBytes    = 32 << 10
	minCopyBytes = 4 << 10 // if there is no memory for more; as a connection's own buffer
)

// copyBody passes a server's body on to the caller. Errors: those of reading and writing.
func (x *exchange) copyBody(source io.Reader) error {
	size := copyBytes
	if !x.holder.TryReserve(copyBytes) {
		size = minCopyBytes
	}
	_, err := io.CopyBuffer(x.w, source, make([]byte, size))
	return err
}

// writeFailure responds with an empty body and a status that this entry VM chose.
func (x *exchange) writeFailure(status int, reason Reason, retryAfter time.Duration) {
	header := x.w.Header()
	x.setFailureHeaders(header, retryAfter)
	header["Content-Length"] = []string{"0"}
	x.w.WriteHeader(status)
	x.reportFinished(reason, status)
}

// writeProblem is like writeFailure with a body that describes the failure.
func (x *exchange) writeProblem(status int, reason Reason, detail string, retryAfter time.Duration) {
	header := x.w.Header()
	x.setFailureHeaders(header, retryAfter)
	body := problemBody(status, detail)
	setProblemHeaders(header, body)
	x.w.WriteHeader(status)
	_, _ = x.w.Write(body) // an error means that the caller has disconnected
	x.reportFinished(reason, status)
}

// setFailureHeaders sets the headers that all failures have.
func (x *exchange) setFailureHeaders(header http.Header, retryAfter time.Duration) {
	if x.id != "" {
		header[http.CanonicalHeaderKey(x.h.opts.Headers.RequestID)] = []string{x.id}
	}
	if retryAfter > 0 {
		header["Retry-After"] = []string{strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64)}
	}
	x.h.setConnectionClose(header)
}

// reportFinished reports to the journal how the request ended.
func (x *exchange) reportFinished(reason Reason, status int) {
	finished := &FinishedRequest{
		RequestID: x.id, Reason: reason, Status: status, Took: time.Since(x.start), Attempts: x.attempts,
		Version: x.version, Service: x.service, Refusal: x.refusal, Late: !x.lateAfter.IsZero() && time.Now().After(x.lateAfter),
		OrdersAdmission: x.ordersAdmission, Admission: x.admission,
	}
	if x.route != nil {
		finished.Route, finished.Kind, finished.Priority = x.route.Name, x.route.Kind, x.account.PriorityOn(x.route)
	}
	if x.account != nil {
		finished.Account = x.account.Name
	}
	if x.last != nil {
		finished.LastPlacement = x.last.to
	}
	x.h.opts.Journal.RequestDone(finished)
}

// hashObject returns the hash of the object that the affinity cookie names, 0 if there is none or the route has no
// affinity.
func hashObject(r *http.Request, route *routing.Route, cookie string) uint64 {
	if !route.Affinity {
		return 0
	}
	c, err := r.Cookie(cookie)
	if err != nil {
		return 0
	}
	return hashObjectName(route, c.Value)
}

// hashObjectName returns the hash of the object called name, 0 if there is none or the route has no affinity.
func hashObjectName(route *routing.Route, name string) uint64 {
	if !route.Affinity || name == "" {
		return 0
	}
	return max(1, xxhash.Sum64String(route.Name+"\x00"+name))
}

// cutQuery splits a request target at its first question mark.
func cutQuery(target string) (path, query string, hasQuery bool) { return strings.Cut(target, "?") }

// readCloser adds a Close without effect to a reader.
type readCloser struct{ io.Reader }

// Close implements io.Closer.
func (readCloser) Close() error { return nil }
