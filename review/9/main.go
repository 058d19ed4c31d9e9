// Command 9 shows for how long the directory names an entry VM that was killed.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/azureflow/azureflow/review/rig2"
)

const (
	staleBy = 5 * time.Second // age of reads with allow_stale
	bound   = 7 * time.Second // stable_window_ms + 3 s
)

func main() { rig2.Main("review/9/record.txt", run) }

func run(w *rig2.World) (broken bool, err error) {
	w.Store.LagStaleReads(staleBy, "azureflow/entry-vms/", "op/")
	w.Store.Configure(1, []string{"stampbook"}, []rig2.Route{
		{Name: "approval-stamp", Prefix: "/stamp/", Kind: "unsafe", Service: "stampbook", TimeoutMS: 3000, TargetMS: 500, MaxAttempts: 2},
	})
	for i, zone := range rig2.Zones {
		e := rig2.Entry{
			ID: fmt.Sprintf("i-stamp%d", i+1), Service: "stampbook", Address: w.IP() + ":0", Zone: zone[0], Version: "v1", Slots: 6,
			State: "ready", Born: time.Now().UnixMilli() - 60_000,
		}
		if _, err := rig2.StartServer(w.Store, e, 100*time.Millisecond, 1500*time.Millisecond, w.Record); err != nil {
			return false, err
		}
	}
	if err := w.StartGateways(5); err != nil {
		return false, err
	}
	time.Sleep(12 * time.Second) // until all know each other
	victim := w.Gateways[4]      // in the zone of the first gateway
	if w.Trouble {
		if err := victim.Cmd.Process.Kill(); err != nil {
			return false, err
		}
		w.Record.Note("%s (%s) is killed and does not come back", victim.Name, victim.Frontend)
	}
	killed := time.Now()

	var mu sync.Mutex
	answers, late := 0, 0
	var last time.Duration
	var callers sync.WaitGroup
	for _, g := range w.Gateways[:4] {
		callers.Go(func() {
			client := &http.Client{Timeout: time.Second}
			for time.Since(killed) < 15*time.Second {
				asked := time.Since(killed)
				named, err := resolve(client, g.Directory)
				time.Sleep(200 * time.Millisecond)
				if err != nil {
					continue
				}
				mu.Lock()
				answers++
				if w.Trouble && slices.Contains(named, victim.Frontend) && len(named) > 1 {
					last = max(last, asked)
					if asked > bound {
						late++
						w.Record.Note("%s names %s, %.1f s after the kill", g.Name, strings.Join(named, " "), asked.Seconds())
					}
				}
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	w.Record.Note("%d answers; the killed machine was named until %.1f s after the kill, %d times after more than %v", answers, last.Seconds(), late, bound)
	return late > 3, nil
}

// resolve asks a directory as a caller of the first zone does.
func resolve(client *http.Client, directory string) ([]string, error) {
	zone := rig2.Zones[0]
	resp, err := client.Get(fmt.Sprintf("http://%s/azureflow/resolve?name=%s&region=%s&zone=%s", directory, rig2.Host, zone[1], zone[0]))
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	err = json.NewDecoder(resp.Body).Decode(&answer)
	return answer.Addresses, err
}
