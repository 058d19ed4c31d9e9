package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// oddEntry: a server leaves as planned. Later than drain_ms after that, another writer leaves one entry under the
// server's key that lacks fields. Rule DRAIN: no request may reach the server.
func oddEntry(w *world) ([]string, error) {
	const (
		servers      = 6
		objects      = 24
		gap          = 25 * time.Millisecond // between two requests
		warmUp       = 4 * time.Second
		oddEntryAt   = 3100 * time.Millisecond // after the report that the server drains; just after a heartbeat
		exitAt       = 4400 * time.Millisecond
		afterExit    = 2 * time.Second
		workTime     = 300 * time.Millisecond
		slots        = 3
		deadlineTime = 3 * time.Second
	)
	var leaving *server
	for i := range servers {
		zone := []string{"sohar-a", "sohar-b", "ruwi-a"}[i%3]
		s, err := w.startServer(fmt.Sprintf("i-%d", i+1), "stampbook", zone, slots, workTime)
		if err != nil {
			return nil, err
		}
		s.writeEntry()
		if i == 0 {
			leaving = s
		} else {
			go s.beat()
		}
	}
	if err := w.startGateways(config, oneEach, strings.NewReplacer()); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var mu sync.Mutex
	answers := make(map[string]*answer)
	var clients sync.WaitGroup
	clients.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(gap):
			}
			r := &request{
				id: fmt.Sprintf("q%04d", n), host: "hulo84.example", path: "/xapu221/2f", object: n % objects,
				deadline: deadlineTime, body: []byte("stamp"),
			}
			clients.Go(func() {
				a := w.send(w.gateways[n%2], r)
				mu.Lock()
				defer mu.Unlock()
				answers[a.id] = a
			})
		}
	})
	for end := time.Now().Add(warmUp); time.Now().Before(end); time.Sleep(heartbeat) {
		leaving.writeEntry()
	}
	leaving.draining.Store(true)
	acked := leaving.writeEntry()
	w.rec.printf("server %s reports draining; the store accepted it", leaving.id)
	beats := []time.Duration{heartbeat, 2 * heartbeat}
	for _, after := range beats {
		time.Sleep(time.Until(acked.Add(after)))
		leaving.writeEntry()
	}
	time.Sleep(time.Until(acked.Add(oddEntryAt)))
	if w.trouble {
		w.store.put("servers/"+leaving.id, fmt.Sprintf(
			`{"service":%q,"address":%q,"zone":%q,"slots":%d,"state":"ready","cold_remaining_ms":0}`,
			leaving.service, leaving.address, leaving.zone, leaving.slots))
		w.rec.printf("another writer wrote an entry without version, seq and born under servers/%s", leaving.id)
	}
	time.Sleep(time.Until(acked.Add(exitAt)))
	w.rec.printf("server %s exits", leaving.id)
	leaving.exit()
	time.Sleep(afterExit)
	close(stop)
	clients.Wait()
	runs := w.runsOf(leaving.id)
	if len(runs) == 0 {
		return nil, fmt.Errorf("%w: the leaving server got no request before it left", errSetup)
	}
	passedOn := make(map[*gateway]time.Time) // when a gateway first passed on an answer with Server-Leaving
	for _, a := range answers {
		if first, ok := passedOn[a.gateway]; a.isLeaving && (!ok || a.got.Before(first)) {
			passedOn[a.gateway] = a.got
		}
	}
	for g, at := range passedOn {
		w.rec.printf("%s had passed on an answer with Server-Leaving at %s", g.name, w.rec.at(at))
	}
	var violations []string
	for _, r := range runs {
		a := answers[r.request]
		if late := a.sent.Sub(acked); late > drainTime {
			violations = append(violations, fmt.Sprintf(
				"DRAIN: %s reached %s; its client sent it %d ms after the store had accepted that the server drains (bound %d ms); the client got status %d, signed %v",
				r.request, r.server, late.Milliseconds(), drainTime.Milliseconds(), a.status, a.signed))
		}
	}
	return violations, nil
}
