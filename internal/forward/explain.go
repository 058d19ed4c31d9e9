package forward

import (
	"time"

	"github.com/azureflow/azureflow/internal/admission"
	"github.com/azureflow/azureflow/internal/placement"
	"github.com/azureflow/azureflow/internal/routing"
	"github.com/azureflow/azureflow/internal/steering"
)

// Question describes a request that is not sent.
type Question struct {
	Host     string
	Path     string
	Object   string               // value of the affinity cookie; empty: the request has none
	Bytes    int                  // of the body
	Deadline time.Duration        // of the caller; 0: it sends none
	Account  routing.AccountName  // empty: none
	Service  steering.ServiceName // one of the route's destinations; empty: the one with the greatest weight
	Tried    []placement.ServerID // servers that the request was sent to before; any make it a retry
}

// Verdict is what would happen to a request now.
type Verdict string

// The verdicts.
const (
	VerdictSent    Verdict = "sent"
	VerdictWaits   Verdict = "waits" // at this entry VM, for room
	VerdictRefused Verdict = "refused"
)

// RetryAfterBasis is where the time until a refused caller may return comes from.
type RetryAfterBasis string

// The bases of that time. All but the first are varied by chance, from half of the time to one and a half times it.
const (
	RetryAfterReturns RetryAfterBasis = "schedule of returning callers"
	RetryAfterWait    RetryAfterBasis = "expected wait for a slot"
	RetryAfterBackoff RetryAfterBasis = "pause that servers asked for"
	RetryAfterFixed   RetryAfterBasis = "fixed"
)

// Explanation is what would happen to a request now, and why.
type Explanation struct {
	Version         routing.Version
	Route           *routing.Route
	Service         steering.ServiceName
	Priority        int // 0 is the most urgent
	Verdict         Verdict
	Reason          Reason               // of VerdictRefused
	OrdersAdmission bool                 // requests without room wait in order
	Waiting         int                  // requests that wait for room at the service
	Bounds          placement.WaitBounds // of the wait at a server, if OrdersAdmission
	Hold            time.Duration        // of VerdictWaits: longest wait here
	// RetryAfter is sent to a refused caller now, or would be after Hold.
	RetryAfter      time.Duration
	RetryAfterBasis RetryAfterBasis
	TimeLeft        time.Duration          // until the response is due
	TargetLeft      time.Duration          // until it is late
	Placement       *placement.Explanation // nil: the request is refused before a server is chosen
}

// NoTableError reports that no configuration is in force yet.
type NoTableError struct{}

// Error implements error.
func (*NoTableError) Error() string { return "no configuration is in force" }

// NoRouteError reports a host and a path without a route.
type NoRouteError struct{ Host, Path string }

// Error implements error.
func (e *NoRouteError) Error() string { return "no route has host " + e.Host + " and path " + e.Path }

// UnknownAccountError reports a name that is no client account's. It does not hold what was given, which may be a key.
type UnknownAccountError struct{}

// Error implements error.
func (*UnknownAccountError) Error() string { return "no client account has that name" }

// NotDestinationError reports a service that the route does not lead to.
type NotDestinationError struct {
	Service steering.ServiceName
	Route   string
}

// Error implements error.
func (e *NotDestinationError) Error() string {
	return "service " + string(e.Service) + " is no destination of route " + e.Route
}

// Explain returns what would happen to a request that came at now, as the first one of its caller unless q says
// otherwise. It changes nothing, and takes nothing from the quota of the account, which it does not check either.
// Errors: *NoTableError, *NoRouteError, *UnknownAccountError, *NotDestinationError.
func (h *Handler) Explain(q *Question, now time.Time) (*Explanation, error) {
	confirmed := h.opts.KeysConfirmed == nil || h.opts.KeysConfirmed()
	table := h.opts.Table()
	if table == nil {
		return nil, &NoTableError{}
	}
	route := table.Route(q.Host, q.Path)
	if route == nil {
		return nil, &NoRouteError{Host: q.Host, Path: q.Path}
	}
	account := accountByName(table, q.Account)
	if account == nil && q.Account != "" {
		return nil, &UnknownAccountError{}
	}
	service := q.Service
	if service == "" {
		service = largestDestination(route)
	} else if !leadsTo(route, service) {
		return nil, &NotDestinationError{Service: service, Route: route.Name}
	}
	x := &Explanation{
		Version: table.Version(), Route: route, Service: service, Priority: account.PriorityOn(route), OrdersAdmission: table.OrdersAdmission(),
	}
	callerLeft := timesLeft(x, q.Deadline)
	switch {
	case h.refusingRequests.Load():
		x.refuse(ReasonStopping, defaultRetryAfter, RetryAfterFixed)
	case table.HasAccounts() && account == nil && !route.AllowAnonymous:
		x.refuse(ReasonNoKey, 0, "")
	case account != nil && !confirmed:
		x.refuse(ReasonKeysUnconfirmed, defaultRetryAfter, RetryAfterFixed)
	default:
		h.explainPlacement(x, q, account, callerLeft, now)
	}
	return x, nil
}

// timesLeft sets the times that the request has as a caller's first one, and returns until when its caller waits.
func timesLeft(x *Explanation, deadline time.Duration) time.Duration {
	callerLeft := deadline
	if callerLeft <= 0 {
		callerLeft = x.Route.Timeout
	}
	if callerLeft <= 0 {
		callerLeft = defaultDeadline
	}
	x.TimeLeft = callerLeft
	if x.Route.Timeout > 0 {
		x.TimeLeft = min(callerLeft, x.Route.Timeout)
	}
	x.TargetLeft = x.Route.LatencyObjective()
	if x.TargetLeft <= 0 {
		x.TargetLeft = x.TimeLeft
	}
	return callerLeft
}

// noMove is the random number of a request that does not move its object to another server; Explanation.MayMove names it.
const noMove = 0.999

func (h *Handler) explainPlacement(
	x *Explanation, q *Question, account *routing.Account, callerLeft time.Duration, now time.Time,
) {
	query := &placement.Query{
		Route: x.Route, Account: account, Service: x.Service, Object: hashObjectName(x.Route, q.Object), TimeLeft: x.TimeLeft,
		TargetLeft: x.TargetLeft, Bytes: q.Bytes, Tried: q.Tried, FirstAttempt: len(q.Tried) == 0, Retry: len(q.Tried) > 0,
		Random: noMove,
	}
	if !x.OrdersAdmission {
		x.Placement = h.opts.Chooser.Explain(query, now)
		x.Verdict = VerdictSent
		if r := x.Placement.Refusal; r != nil {
			x.refuse(Reason(r.Reason), r.RetryAfter, basisOf(r))
		}
		return
	}
	ticket := &admission.Ticket{
		Priority: x.Priority, Account: account, Target: min(x.TimeLeft, x.TargetLeft),
	}
	preview := h.admissions.preview(x.Service, ticket, now)
	x.Waiting, x.Bounds = preview.Waiting, placement.WaitBounds(preview.Bounds)
	query.WaitBounds = &x.Bounds
	x.Placement = h.opts.Chooser.Explain(query, now)
	x.Verdict = VerdictSent
	refusal := x.Placement.Refusal
	switch {
	case refusal == nil:
		return
	case !refusal.IsForRoom():
		x.refuse(Reason(refusal.Reason), refusal.RetryAfter, basisOf(refusal))
		return
	}
	ticket.Work, ticket.Wait = refusal.Work(), refusal.Wait
	ticket.InTime = ticket.Work <= x.TargetLeft
	x.refuse(Reason(refusal.Reason), preview.RetryAfter(ticket, x.TargetLeft, callerLeft, now), RetryAfterReturns)
	if until := ticket.HoldUntil(now, now.Add(x.TimeLeft)); until.After(now) {
		x.Verdict, x.Hold = VerdictWaits, until.Sub(now)
	}
}

func (x *Explanation) refuse(reason Reason, retryAfter time.Duration, basis RetryAfterBasis) {
	x.Verdict, x.Reason, x.RetryAfter, x.RetryAfterBasis = VerdictRefused, reason, retryAfter, basis
}

// basisOf returns where the time of a refusal by placement comes from.
func basisOf(r *placement.Refusal) RetryAfterBasis {
	switch r.Reason {
	case placement.ReasonNoCapacity:
		return RetryAfterWait
	case placement.ReasonBackoff:
		return RetryAfterBackoff
	default:
		return RetryAfterFixed
	}
}

// preview returns what the queue of a service would decide about a request.
func (a *admissions) preview(name steering.ServiceName, t *admission.Ticket, now time.Time) *admission.Preview {
	a.mu.Lock()
	defer a.mu.Unlock()
	queue := admission.NewQueue()
	if s := a.services[name]; s != nil {
		queue = s.queue
	}
	return queue.Preview(t, now)
}

func accountByName(table *routing.Table, name routing.AccountName) *routing.Account {
	if name == "" {
		return nil
	}
	for _, account := range table.Accounts() {
		if account.Name == name {
			return account
		}
	}
	return nil
}

// largestDestination returns the service that most requests of the route go to.
func largestDestination(route *routing.Route) steering.ServiceName {
	largest := route.Destinations[0]
	for _, d := range route.Destinations[1:] {
		if d.Weight > largest.Weight {
			largest = d
		}
	}
	return largest.Service
}

func leadsTo(route *routing.Route, service steering.ServiceName) bool {
	for _, d := range route.Destinations {
		if d.Service == service {
			return true
		}
	}
	return false
}
