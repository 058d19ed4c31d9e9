package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// wrongService: another writer leaves one entry under the key of a running server. It lacks fields and names another
// service. Rule ROUTE: no request may be run by a service to which no configuration sends it.
func wrongService(w *world) ([]string, error) {
	const (
		serversEach  = 3
		objects      = 24
		gap          = 25 * time.Millisecond // between two requests
		settle       = 4 * time.Second
		afterEntry   = 4 * time.Second
		workTime     = 200 * time.Millisecond
		slots        = 3
		deadlineTime = 3 * time.Second
	)
	services := []string{"stampbook", "scanvault"}
	serviceOf := make(map[string]string) // by server
	var target *server
	for i := range len(services) * serversEach {
		service := services[i%len(services)]
		s, err := w.startServer(fmt.Sprintf("i-%d", i+1), service, []string{"sohar-a", "sohar-b"}[i/len(services)%2], slots, workTime)
		if err != nil {
			return nil, err
		}
		s.writeEntry()
		serviceOf[s.id] = service
		if i == 0 {
			target = s
		} else {
			go s.beat()
		}
	}
	if err := w.startGateways(config, oneEach, strings.NewReplacer()); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	routes := make(map[string]string) // service of each request's route
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
			service := services[0]
			if n%2 == 1 {
				r.host, r.path, r.body, service = "jepu9.example", "/fiti832/2f", []byte("scan"), services[1]
			}
			mu.Lock()
			routes[r.id] = service
			mu.Unlock()
			clients.Go(func() { w.send(w.gateways[n/2%2], r) })
		}
	})
	for end := time.Now().Add(settle); time.Now().Before(end); time.Sleep(heartbeat) {
		target.writeEntry()
	}
	if w.trouble {
		w.store.put("servers/"+target.id, fmt.Sprintf(
			`{"service":%q,"address":%q,"zone":%q,"slots":%d,"state":"ready"}`, services[1], target.address, target.zone, slots))
		w.rec.printf("another writer wrote an entry for %s without version, seq, cold_remaining_ms and born under servers/%s, a server of %s",
			services[1], target.id, target.service)
	}
	time.Sleep(heartbeat)
	go target.beat()
	target.writeEntry()
	time.Sleep(afterEntry)
	close(stop)
	clients.Wait()
	var violations []string
	for _, r := range w.runs {
		if route := routes[r.request]; route != serviceOf[r.server] {
			violations = append(violations, fmt.Sprintf(
				"ROUTE: %s, whose route leads to %s, was run by %s of %s at %s", r.request, route, r.server, serviceOf[r.server], w.rec.at(r.start)))
		}
	}
	return violations, nil
}
