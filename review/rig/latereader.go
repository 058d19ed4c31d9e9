package main

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"time"
)

// lateReader: servers answer uploads before they have read the body and read on later. A gateway gets SIGTERM while it
// has uploads at such servers. Rule LOST: it may not break them off and give an answer of its own.
func lateReader(w *world) ([]string, error) {
	const (
		servers      = 4
		uploads      = 4
		uploadBytes  = 300_000 // below the largest upload of the site, 360,000
		workTime     = 2 * time.Second
		slots        = 6
		settle       = 2 * time.Second
		termAfter    = 300 * time.Millisecond
		deadlineTime = 3 * time.Second
	)
	for i := range servers {
		s, err := w.startServer(fmt.Sprintf("i-%d", i+1), "scanvault", []string{"sohar-a", "sohar-b"}[i%2], slots, workTime)
		if err != nil {
			return nil, err
		}
		s.readsLate = true
		s.writeEntry()
		go s.beat()
	}
	if err := w.startGateways(config, oneEach, strings.NewReplacer()); err != nil {
		return nil, err
	}
	time.Sleep(settle)
	g := w.gateways[0]
	body := bytes.Repeat([]byte("scan"), uploadBytes/4)
	answers := make([]*answer, uploads)
	var clients sync.WaitGroup
	for i := range uploads {
		clients.Go(func() {
			answers[i] = w.send(g, &request{
				id: fmt.Sprintf("u%d", i), host: "jepu9.example", path: "/fiti832/2f", object: i, deadline: deadlineTime, body: body,
			})
		})
	}
	time.Sleep(termAfter)
	var termed time.Time
	if w.trouble {
		termed = w.terminate(g)
	}
	clients.Wait()
	time.Sleep(workTime) // lets the servers end their runs
	runs := make(map[string]*run)
	for _, r := range w.runs {
		runs[r.request] = r
	}
	var violations []string
	for _, a := range answers {
		r := runs[a.id]
		if r == nil {
			return nil, fmt.Errorf("%w: %s ran nowhere", errSetup, a.id)
		}
		end := r.start.Add(workTime)
		w.rec.printf("%s ran from %s to %s at %s; its client got %d at %s", a.id, w.rec.at(r.start), w.rec.at(end), r.server, a.status, w.rec.at(a.got))
		isBrokenOff := !a.signed && a.got.Before(end)
		if isBrokenOff && w.trouble && a.got.Before(termed.Add(grace*5/6)) && a.got.Sub(a.sent) < deadlineTime {
			violations = append(violations, fmt.Sprintf(
				"LOST: %s was broken off with status %d, %d ms after SIGTERM and %d ms after it was sent, while %s was at work on it",
				a.id, a.status, a.got.Sub(termed).Milliseconds(), a.got.Sub(a.sent).Milliseconds(), r.server))
		}
	}
	return violations, nil
}
