package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// wrongAddress: another writer leaves one entry among those of the servers. It lacks fields and has the address of an
// entry VM's directory. Rule DENIED: no more than 5 and one in 500 of all requests may get a 4xx of the system's own.
func wrongAddress(w *world) ([]string, error) {
	const (
		servers      = 6
		objects      = 24
		gap          = 20 * time.Millisecond // between two requests
		warmUp       = 5 * time.Second
		afterEntry   = 25 * time.Second
		workTime     = 200 * time.Millisecond
		slots        = 3
		deadlineTime = 3 * time.Second
	)
	for i := range servers {
		s, err := w.startServer(fmt.Sprintf("i-%d", i+1), "stampbook", []string{"sohar-a", "sohar-b", "ruwi-a"}[i%3], slots, workTime)
		if err != nil {
			return nil, err
		}
		s.writeEntry()
		go s.beat()
	}
	if err := w.startGateways(config, oneEach, strings.NewReplacer()); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var answers []*answer
	stop := make(chan struct{})
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
				a := w.send(w.gateways[n%len(w.gateways)], r)
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, a)
			})
		}
	})
	time.Sleep(warmUp)
	if w.trouble {
		ip, _, err := net.SplitHostPort(w.gateways[0].frontend)
		if err != nil {
			return nil, err
		}
		w.store.put("servers/stray", fmt.Sprintf(
			`{"service":"stampbook","address":"%s:8383","zone":"sohar-a","slots":3,"state":"ready"}`, ip))
		w.rec.printf("another writer wrote an entry without version, seq, cold_remaining_ms and born under servers/stray")
	}
	time.Sleep(afterEntry)
	close(stop)
	clients.Wait()
	denied, served := 0, 0
	for _, a := range answers {
		switch {
		case a.status >= http.StatusMultipleChoices && a.status < http.StatusInternalServerError && !a.signed &&
			a.status != http.StatusRequestTimeout && a.status != http.StatusMisdirectedRequest && a.status != http.StatusTooManyRequests:
			denied++
		case a.signed:
			served++
		}
	}
	allowed := 5 + len(answers)/500
	w.rec.printf("%d requests: %d answered by servers, %d denied with a 3xx or 4xx that no server gave (allowed %d)", len(answers), served, denied, allowed)
	if denied > allowed {
		return []string{fmt.Sprintf("DENIED: %d of %d proper requests got a 3xx or 4xx that no server gave (allowed %d)", denied, len(answers), allowed)}, nil
	}
	return nil, nil
}
