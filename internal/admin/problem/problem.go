// Package problem writes errors of HTTP interfaces as application/problem+json (RFC 9457).
package problem

import (
	"encoding/json"
	"net/http"
)

// ContentType is the media type of a problem.
const ContentType = "application/problem+json"

// typePrefix is the prefix of the type of every problem.
const typePrefix = "urn:azureflow:problem:"

// Kind is the last part of a problem's type.
type Kind string

// The kinds of problem.
const (
	KindParameter    Kind = "parameter"     // 400: a query parameter is invalid
	KindUnauthorized Kind = "unauthorized"  // 401: the bearer token is missing or invalid
	KindNotFound     Kind = "not-found"     // 404: no such object
	KindMethod       Kind = "method"        // 405: the interface is read-only
	KindTooLong      Kind = "too-long"      // 414: the request is too long
	KindBusy         Kind = "busy"          // 429: too many requests of this kind are in progress
	KindNotReady     Kind = "not-ready"     // 503: this VM cannot respond yet
	KindSourceFailed Kind = "source-failed" // 502: a source that the response needs could not be reached
)

// Problem is an error of an HTTP interface.
type Problem struct {
	Type      string `json:"type"` // urn:azureflow:problem:KIND
	Title     string `json:"title"`
	Status    int    `json:"status"`
	Detail    string `json:"detail,omitempty"`
	Parameter string `json:"parameter,omitempty"` // the invalid parameter
}

// New returns a problem.
func New(kind Kind, status int, detail string) *Problem {
	return &Problem{Type: typePrefix + string(kind), Title: http.StatusText(status), Status: status, Detail: detail}
}

// Parameter returns the problem of an invalid parameter.
func Parameter(name, detail string) *Problem {
	p := New(KindParameter, http.StatusBadRequest, detail)
	p.Parameter = name
	return p
}

// Error implements error.
func (p *Problem) Error() string { return p.Title + ": " + p.Detail }

// Write writes p as the response.
func Write(w http.ResponseWriter, p *Problem) {
	w.Header().Set("Content-Type", ContentType)
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}
