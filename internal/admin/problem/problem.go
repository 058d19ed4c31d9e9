// Package problem writes errors of HTTP interfaces as application/problem+json (RFC 9457).
package problem

import (
	"encoding/json"
	"net/http"
)

// ContentType is the media type of a problem.
const ContentType = "application/problem+json"

// typePrefix begins the type of every problem.
const typePrefix = "urn:azureflow:problem:"

// Kind is the last part of a problem's type.
type Kind string

// The kinds of problem.
const (
	KindParameter    Kind = "parameter"     // 400: a parameter of the query is wrong
	KindUnauthorized Kind = "unauthorized"  // 401: no or a wrong bearer token
	KindNotFound     Kind = "not-found"     // 404: no such object
	KindMethod       Kind = "method"        // 405: the interface is read-only
	KindTooLong      Kind = "too-long"      // 414: the request is too long
	KindBusy         Kind = "busy"          // 429: enough of this kind is under way
	KindNotReady     Kind = "not-ready"     // 503: this VM cannot answer yet
	KindSourceFailed Kind = "source-failed" // 502: what the answer needs could not be reached
)

// Problem is an error of an HTTP interface.
type Problem struct {
	Type      string `json:"type"` // urn:azureflow:problem:KIND
	Title     string `json:"title"`
	Status    int    `json:"status"`
	Detail    string `json:"detail,omitempty"`
	Parameter string `json:"parameter,omitempty"` // the parameter that is wrong
}

// New returns a problem.
func New(kind Kind, status int, detail string) *Problem {
	return &Problem{Type: typePrefix + string(kind), Title: http.StatusText(status), Status: status, Detail: detail}
}

// Parameter returns the problem of a wrong parameter.
func Parameter(name, detail string) *Problem {
	p := New(KindParameter, http.StatusBadRequest, detail)
	p.Parameter = name
	return p
}

// Error implements error.
func (p *Problem) Error() string { return p.Title + ": " + p.Detail }

// Write answers with p.
func Write(w http.ResponseWriter, p *Problem) {
	w.Header().Set("Content-Type", ContentType)
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}
