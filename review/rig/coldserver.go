package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// largeSettings turns the settings into those of the site sohar-proof-large.
var largeSettings = strings.NewReplacer(
	"sohar-a = \"batinah\"\nsohar-b = \"batinah\"\nruwi-a = \"muscat\"",
	"sohar-a = \"batinah\"\nsohar-b = \"batinah\"\nsohar-c = \"batinah\"\n"+
		"ruwi-a = \"muscat\"\nruwi-b = \"muscat\"\nruwi-c = \"muscat\"\n"+
		"salalah-a = \"dhofar\"\nsalalah-b = \"dhofar\"\nsalalah-c = \"dhofar\"",
	"cold_slack = 5", "cold_slack = 10", "ack_ms = 4000", "ack_ms = 6000", "catch_up_s = 4", "catch_up_s = 6",
	"drain_ms = 2500", "drain_ms = 4000", "grace_s = 6", "grace_s = 10", "config_apply_ms = 2500", "config_apply_ms = 4000",
	"budget_slack = 64", "budget_slack = 430", "writes_per_s = 400", "writes_per_s = 3200", "reads_per_s = 2000", "reads_per_s = 16000",
)

// coldServer: the servers of a service in a region are down for a few seconds and come back together, cold. Rule
// FAILBACK: a cold server may not get more than cold_per_s x cold_overage + cold_slack requests in one second.
func coldServer(w *world) ([]string, error) {
	const (
		coldPerSecond = 1.9 // these three as on the site sohar-proof-large
		coldOverage   = 1.5
		coldSlack     = 10
		bound         = coldPerSecond*coldOverage + coldSlack
		coldTime      = 3 * time.Second
		gateways      = 26 // of the region dhofar there
		servers       = 4
		objects       = 48
		slots         = 6
		workTime      = 100 * time.Millisecond
		gap           = 6 * time.Millisecond // between two requests of all clients
		warmUp        = 5 * time.Second
		downTime      = 4 * time.Second
		deadlineTime  = 3 * time.Second
		crashRate     = 20 // ten times cold_per_s
	)
	zones := []string{"salalah-a", "salalah-b", "salalah-c"}
	start := func(cold bool) ([]*server, error) {
		var started []*server
		for i := range servers {
			s, err := w.startServer(fmt.Sprintf("i-%d", i+1), "stampbook", zones[0], slots, workTime)
			if err != nil {
				return nil, err
			}
			if cold {
				s.id = fmt.Sprintf("i-cold-%d", i+1)
				s.coldUntil, s.crashRate = time.Now().Add(coldTime), crashRate
				w.rec.printf("server %s starts, cold for %v", s.id, coldTime)
			}
			s.writeEntry()
			go s.beat()
			started = append(started, s)
		}
		return started, nil
	}
	first, err := start(false)
	if err != nil {
		return nil, err
	}
	var places []place
	for i := range gateways {
		places = append(places, place{zones[i%len(zones)], "dhofar"})
	}
	if err := w.startGateways(strings.ReplaceAll(config, ",7.3]", ",1.9]"), places, largeSettings); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	answers := make(map[string]*answer)
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
				a := w.send(w.gateways[n%gateways], r)
				mu.Lock()
				defer mu.Unlock()
				answers[a.id] = a
			})
		}
	})
	time.Sleep(warmUp)
	var cold []*server
	if w.trouble {
		for _, s := range first {
			w.rec.printf("server %s is down", s.id)
			s.exit()
		}
		time.Sleep(downTime)
		if cold, err = start(true); err != nil {
			return nil, err
		}
	}
	time.Sleep(coldTime)
	close(stop)
	clients.Wait()
	var violations []string
	for _, s := range cold {
		if v := w.judgeCold(s, answers, bound); v != "" {
			violations = append(violations, v)
		}
	}
	return violations, nil
}

// judgeCold returns the violation of the bound by a cold server's arrivals, "" if there is none.
func (w *world) judgeCold(s *server, answers map[string]*answer, bound float64) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0
	var from time.Time
	for i, first := range s.arrivals {
		n := 0
		for _, t := range s.arrivals[i:] {
			if t.Sub(first) < time.Second && t.Before(s.coldUntil) {
				n++
			}
		}
		if n > most {
			most, from = n, first
		}
	}
	lost := 0
	for _, r := range w.runsOf(s.id) {
		if a := answers[r.request]; !a.signed {
			lost++
			w.rec.printf("%s ran at %s and its client got status %d", a.id, s.id, a.status)
		}
	}
	w.rec.printf("%s got at most %d requests in one second, from %s; allowed %.2f", s.id, most, w.rec.at(from), bound)
	if float64(most) <= bound {
		return ""
	}
	return fmt.Sprintf("FAILBACK: cold server %s got %d requests in one second, allowed %.2f; of those that it ran, %d got no answer of a server", s.id, most, bound, lost)
}
