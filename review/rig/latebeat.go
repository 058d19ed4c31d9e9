package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// lateBeat: the store does not answer one heartbeat of a server and executes it seconds later, when the server has left
// and its entry was removed. Rule DRAIN: no request may reach the server later than drain_ms after the removal.
func lateBeat(w *world) ([]string, error) {
	const (
		gateways     = 12
		servers      = 6
		objects      = 24
		gap          = 30 * time.Millisecond // between two requests
		warmUp       = 4 * time.Second
		leavesAfter  = 4100 * time.Millisecond // after the heartbeat was sent: the store counts as stable again
		executed     = 5900 * time.Millisecond // after the heartbeat was sent
		exitAfter    = 4 * time.Second         // after the server has left
		afterExit    = time.Second
		workTime     = 300 * time.Millisecond
		slots        = 3
		deadlineTime = 3 * time.Second
	)
	zones := []place{{"sohar-a", "batinah"}, {"sohar-b", "batinah"}, {"ruwi-a", "muscat"}}
	var leaving *server
	for i := range servers {
		s, err := w.startServer(fmt.Sprintf("i-%d", i+1), "stampbook", zones[i%3].zone, slots, workTime)
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
	var places []place
	for i := range gateways {
		places = append(places, zones[i%3])
	}
	if err := w.startGateways(config, places, strings.NewReplacer()); err != nil {
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
				id: fmt.Sprintf("q%04d", n), host: "hulo84.example", path: "/xapu221/2f", object: rand.IntN(objects),
				deadline: deadlineTime, body: []byte("stamp"),
			}
			clients.Go(func() {
				a := w.send(w.gateways[n%gateways], r)
				mu.Lock()
				defer mu.Unlock()
				answers[a.id] = a
			})
		}
	})
	for end := time.Now().Add(warmUp); time.Now().Before(end); time.Sleep(heartbeat) {
		leaving.writeEntry()
	}
	sent, late := time.Now(), leaving.entry()
	w.rec.printf("server %s sends the heartbeat %s; the store does not answer", leaving.id, late)
	for _, after := range []time.Duration{heartbeat, 2 * heartbeat} {
		time.Sleep(time.Until(sent.Add(after)))
		leaving.writeEntry()
	}
	time.Sleep(time.Until(sent.Add(leavesAfter)))
	leaving.draining.Store(true)
	w.store.remove("servers/" + leaving.id)
	removed := time.Now()
	w.rec.printf("server %s leaves; its entry is removed, it serves on for a while", leaving.id)
	time.Sleep(time.Until(sent.Add(executed)))
	if w.trouble {
		w.store.put("servers/"+leaving.id, late)
		w.rec.printf("the store executes the heartbeat of %.1f s before", time.Since(sent).Seconds())
	}
	time.Sleep(time.Until(removed.Add(exitAfter)))
	w.rec.printf("server %s exits", leaving.id)
	leaving.exit()
	time.Sleep(afterExit)
	close(stop)
	clients.Wait()
	var violations []string
	for _, r := range w.runsOf(leaving.id) {
		a := answers[r.request]
		if after := a.sent.Sub(removed); after > drainTime {
			violations = append(violations, fmt.Sprintf(
				"DRAIN: %s reached %s by %s; its client sent it %d ms after the entry of the server was removed (bound %d ms); the client got status %d, signed %v",
				r.request, r.server, a.gateway.name, after.Milliseconds(), drainTime.Milliseconds(), a.status, a.signed))
		}
	}
	return violations, nil
}
