package request

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/azureflow/azureflow/internal/review"
	"github.com/azureflow/azureflow/internal/vm"
)

// Problem is the JSON body of a refusal (RFC 9457).
type Problem struct {
	Type         string            `json:"type"` // "about:blank#" followed by the kind of refusal
	Title        string            `json:"title"`
	Status       int               `json:"status"`
	Detail       string            `json:"detail,omitempty"`
	Outcome      Outcome           `json:"outcome"`
	Constraint   review.Constraint `json:"constraint"`
	Decision     review.ID         `json:"decision"`
	RetryAfterMs int64             `json:"retry_after_ms,omitempty"`
}

// problemType is the media type of Problem.
const problemType = "application/problem+json"

// refusalKind describes how one type of error is reported to a caller.
type refusalKind struct {
	kind        string // last part of Problem.Type
	title       string
	status      int
	proxyStatus string // error of RFC 9209
	constraint  review.Constraint
	retryAfter  time.Duration
	candidates  []review.Candidate
}

// classify returns how err is reported to a caller.
func classify(err error) refusalKind {
	var refused *RefusedError
	var unroutable *UnroutableError
	var routing *RouteError
	var key *KeyError
	var header *HeaderError
	var disconnected *CallerDisconnectedError
	var failed *AttemptError
	switch {
	case errors.As(err, &refused):
		return refusedKind(refused)
	case errors.As(err, &unroutable):
		return refusalKind{kind: "unroutable", title: "No server known", status: http.StatusServiceUnavailable,
			proxyStatus: "destination_not_found", constraint: review.ConstraintDrain, retryAfter: time.Second}
	case errors.As(err, &routing):
		return refusalKind{kind: "no-operation", title: "No such operation", status: routing.Status,
			proxyStatus: "destination_not_found", constraint: review.ConstraintNone}
	case errors.As(err, &key):
		return refusalKind{kind: "key-not-free", title: "The key may have run", status: http.StatusConflict,
			proxyStatus: "http_request_denied", constraint: review.ConstraintNone}
	case errors.As(err, &header):
		return refusalKind{kind: "header", title: "Malformed header", status: http.StatusBadRequest,
			proxyStatus: "http_request_error", constraint: review.ConstraintNone}
	case errors.As(err, &disconnected):
		return refusalKind{kind: "caller-gone", title: "Caller went away", status: statusCallerGone,
			proxyStatus: "http_request_error", constraint: review.ConstraintCaller}
	case errors.As(err, &failed):
		return failedKind(failed)
	default:
		return refusalKind{kind: "internal", title: "Not served", status: http.StatusBadGateway,
			proxyStatus: "proxy_internal_error", constraint: review.ConstraintNone}
	}
}

// statusCallerGone is the status recorded for a caller that no longer reads the response.
const statusCallerGone = 499

func refusedKind(e *RefusedError) refusalKind {
	k := refusalKind{kind: string(e.Constraint), title: "No room", status: http.StatusServiceUnavailable,
		proxyStatus: "connection_limit_reached", constraint: e.Constraint,
		retryAfter: e.RetryAfter, candidates: e.Candidates}
	switch e.Constraint {
	case review.ConstraintCaller:
		k.title, k.status, k.proxyStatus = "Too many requests of this caller", http.StatusTooManyRequests, "http_request_denied"
	case review.ConstraintDeadline:
		k.title = "Cannot be served before its deadline"
	}
	return k
}

func failedKind(e *AttemptError) refusalKind {
	k := refusalKind{kind: "attempt-" + e.Failure.String(), title: "Server failed", status: http.StatusBadGateway,
		proxyStatus: "connection_terminated", constraint: review.ConstraintNone}
	var mismatched *MismatchedResponseError
	var unframed *UnframedResponseError
	switch {
	case errors.As(e, &mismatched):
		k.kind, k.proxyStatus = "crossed-answer", "http_protocol_error"
	case errors.As(e, &unframed):
		k.kind, k.proxyStatus = "unframed-answer", "http_response_incomplete"
	case e.Failure == FailureDial:
		k.proxyStatus, k.status = "destination_unavailable", http.StatusServiceUnavailable
		k.retryAfter = minRetryAfter
	case e.Failure == FailureSilent, e.Failure == FailureCancelled:
		k.proxyStatus, k.status = "http_response_timeout", http.StatusGatewayTimeout
		k.constraint = review.ConstraintDeadline
	case e.Failure == FailureShed:
		k.proxyStatus, k.status = "connection_limit_reached", http.StatusServiceUnavailable
		k.retryAfter = minRetryAfter
	}
	return k
}

// writeRefusal writes p to w as a JSON problem document.
func writeRefusal(w http.ResponseWriter, self vm.Name, k *refusalKind, p *Problem) {
	p.Type = "about:blank#" + k.kind
	p.Title = k.title
	p.Status = k.status
	p.Constraint = k.constraint
	p.RetryAfterMs = k.retryAfter.Milliseconds()
	header := w.Header()
	header.Set("Content-Type", problemType)
	header.Set(HeaderOutcome, string(p.Outcome))
	header.Set(HeaderProxyStatus, proxyStatus(self, k.proxyStatus))
	if k.retryAfter > 0 {
		header.Set("Retry-After", retryAfterSeconds(k.retryAfter))
	}
	w.WriteHeader(k.status)
	_ = json.NewEncoder(w).Encode(p)
}

// proxyStatus returns the value of a Proxy-Status header; an empty kind means no error.
func proxyStatus(self vm.Name, kind string) string {
	value := strconv.Quote(string(self))
	if kind != "" {
		value += "; error=" + kind
	}
	return value
}

// retryAfterSeconds returns d as a Retry-After header value, in seconds rounded up to an integer.
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}
