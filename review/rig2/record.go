package rig2

import (
	"fmt"
	"os"
	"sort"
	"sync"
	"time"
)

// Run is one run of a request at a server.
type Run struct {
	At      time.Time
	Server  string
	Service string
	Path    string
}

// Request is a request of a caller, from its sending to its answer.
type Request struct {
	ID, Path, Gateway string
	Sent, Answered    time.Time
	Status            int // 0: the connection ended without an answer
	Leaving           bool
	Runs              []Run
}

// Record holds what was sent, answered and run.
type Record struct {
	mu       sync.Mutex
	started  time.Time
	requests map[string]*Request
	notes    []note
}

type note struct {
	at   time.Time
	text string
}

// NewRecord returns an empty record.
func NewRecord() *Record { return &Record{started: time.Now(), requests: make(map[string]*Request)} }

func (r *Record) request(id string) *Request {
	q := r.requests[id]
	if q == nil {
		q = &Request{ID: id}
		r.requests[id] = q
	}
	return q
}

// Sent records that a caller sends a request.
func (r *Record) Sent(id, path, gateway string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.request(id)
	q.Path, q.Gateway, q.Sent = path, gateway, time.Now()
}

// Answered records the answer to a request, complete at this moment; status 0 if the connection ended without one.
func (r *Record) Answered(id string, status int, leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.request(id)
	q.Answered, q.Status, q.Leaving = time.Now(), status, leaving
}

func (r *Record) ran(id string, e *Entry, path string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.request(id)
	q.Runs = append(q.Runs, Run{At: time.Now(), Server: e.ID, Service: e.Service, Path: path})
}

// Note adds a line about an event and prints it.
func (r *Record) Note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := note{time.Now(), fmt.Sprintf(format, args...)}
	r.notes = append(r.notes, n)
	fmt.Printf("%8.3f  %s\n", n.at.Sub(r.started).Seconds(), n.text)
}

// Requests returns the requests in the order in which they were sent.
func (r *Record) Requests() []Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]Request, 0, len(r.requests))
	for _, q := range r.requests {
		all = append(all, *q)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Sent.Before(all[j].Sent) })
	return all
}

// WriteFile writes the record to path, one line an event.
func (r *Record) WriteFile(path string) error {
	type line struct {
		at   time.Time
		text string
	}
	var lines []line
	for _, q := range r.Requests() {
		lines = append(lines, line{q.Sent, fmt.Sprintf("sent %s %s to %s", q.ID, q.Path, q.Gateway)})
		for _, run := range q.Runs {
			lines = append(lines, line{run.At, fmt.Sprintf("ran %s at %s of %s", q.ID, run.Server, run.Service)})
		}
		leaving := ""
		if q.Leaving {
			leaving = ", Server-Leaving: 1"
		}
		if !q.Answered.IsZero() {
			lines = append(lines, line{q.Answered, fmt.Sprintf("answered %s status %d%s", q.ID, q.Status, leaving)})
		}
	}
	r.mu.Lock()
	for _, n := range r.notes {
		lines = append(lines, line{n.at, "-- " + n.text})
	}
	r.mu.Unlock()
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].at.Before(lines[j].at) })
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	for _, l := range lines {
		if _, err := fmt.Fprintf(f, "%8.3f  %s\n", l.at.Sub(r.started).Seconds(), l.text); err != nil {
			return err
		}
	}
	return f.Close()
}
