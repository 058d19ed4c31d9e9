package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"github.com/azureflow/azureflow/internal/admin"
	"github.com/azureflow/azureflow/internal/refplatform"
	"github.com/azureflow/azureflow/internal/standin"
)

// TestPausedProcesses stops and wakes an entry VM, the platform and an upstream in the middle of requests
// that may run once. What callers are told is compared with what the upstreams ran.
func TestPausedProcesses(t *testing.T) {
	s := startSystem(t)
	t.Run("leader paused past its lease", func(t *testing.T) { pauseLeader(t, s) })
	t.Run("platform paused", func(t *testing.T) { pausePlatform(t, s) })
	t.Run("upstream paused", func(t *testing.T) { pauseUpstream(t, s) })
}

// pause stops a process until the function that it returns is called.
func pause(t *testing.T, p *process) (wake func()) {
	t.Helper()
	if err := p.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	return func() {
		if err := p.cmd.Process.Signal(syscall.SIGCONT); err != nil {
			t.Error(err)
		}
	}
}

// stampArgs are the arguments of a call that stamps under key and runs for a while.
func stampArgs(origin, block, key string, ms int, more ...string) []string {
	return append([]string{
		"stampbook", "/stamps", "--method", "POST", "--data", "x", "--origin", origin, "--block", block,
		"--key", key, "--timeout", "30s", "--header", fmt.Sprintf("Standin-Service-Ms: %d", ms),
	}, more...)
}

// truthful compares what callers were told of a stamp with how often it ran.
func (s *system) truthful(t *testing.T, key string, reports ...callReport) {
	t.Helper()
	n := s.runs(key)
	if n > 1 {
		t.Errorf("%s ran %d times", key, n)
	}
	const answerBytes = 512
	own := string(standin.AnswerBody(standin.RequestDigest("POST", "/stamps", key, []byte("x")), answerBytes))
	for _, r := range reports {
		switch {
		case r.Outcome == "not-run" && n != 0:
			t.Errorf("%s: told not-run, but it ran: %+v", key, r)
		case r.Outcome == "done" && n != 1:
			t.Errorf("%s: told done, but it ran %d times: %+v", key, n, r)
		case r.Outcome == "done" && r.Body != own:
			t.Errorf("%s: not the answer of this request: %+v", key, r)
		}
	}
}

// awaitStart waits until a stamp runs and returns its server.
func (s *system) awaitStart(key string) *process {
	s.t.Helper()
	var at *process
	s.await(key+" started", func() error {
		for _, p := range s.servers {
			var l standin.Ledger
			if err := s.get("http://"+p.address+"/ledger", &l); err == nil && l.Starts(key) > 0 {
				at = p
				return nil
			}
		}
		return io.ErrNoProgress
	})
	return at
}

// leader returns who leads a zone as an entry VM knows it.
func (s *system) leader(e *entryProcess, zone string) string {
	var page admin.Page[admin.ZoneRow]
	if s.get("http://"+e.admin+"/v1/zones", &page) != nil {
		return ""
	}
	for _, row := range page.Items {
		if string(row.Name) == zone {
			return string(row.Leader)
		}
	}
	return ""
}

// blockOf returns a client block of origin whose callers use an entry VM first, and that VM's
// NAME/INCARNATION.
func (s *system) blockOf(e *entryProcess, origin string) (block, identity string) {
	s.t.Helper()
	const blocks = 64
	for i := range blocks {
		block = strconv.Itoa(i)
		var answer struct {
			Entries []struct {
				Name        string
				Incarnation uint64
			}
		}
		query := "/v1/lookup?service=stampbook&origin=" + origin + "&block=" + block
		if err := s.get("http://"+s.entries[3].address+query, &answer); err != nil {
			s.t.Fatal(err)
		}
		if len(answer.Entries) > 0 && answer.Entries[0].Name == e.name {
			return block, fmt.Sprintf("%s/%d", e.name, answer.Entries[0].Incarnation)
		}
	}
	s.t.Fatalf("no client block uses %s first", e.name)
	return "", ""
}

// pauseLeader pauses the leader of a zone with two entry VMs while it waits for an upstream, until the other one
// leads; the caller asks again meanwhile.
func pauseLeader(t *testing.T, s *system) {
	const key, zone, origin = "stamp-leader-paused", "batinah-a", "batinah"
	witness := s.entries[3]
	var victim *entryProcess
	s.await("leader of "+zone, func() error {
		name := s.leader(witness, zone)
		for _, e := range s.entries {
			if e.name == name {
				victim = e
				return nil
			}
		}
		return io.ErrNoProgress
	})
	s.await("a successor of "+victim.name, func() error {
		if !s.hasSuccessor(zone, victim.name) {
			return io.ErrNoProgress
		}
		return nil
	})
	block, identity := s.blockOf(victim, origin)
	first := make(chan callReport, 1)
	go func() { first <- s.call(witness.address, stampArgs(origin, block, key, 2000, "--first")...) }()
	s.awaitStart(key)
	wake := pause(t, &victim.process)
	s.await("another leader of "+zone, func() error {
		if name := s.leader(witness, zone); name == "" || name == victim.name {
			return io.ErrNoProgress
		}
		return nil
	})
	again := s.call(witness.address, stampArgs(origin, block, key, 10, "--previous", identity)...)
	wake()
	s.truthful(t, key, <-first, again)
	s.await("the woken VM follows the new leader", func() error {
		if name := s.leader(victim, zone); name == "" || name != s.leader(witness, zone) {
			return io.ErrNoProgress
		}
		return nil
	})
	later := key + "-later"
	s.truthful(t, later, s.call(victim.address, stampArgs(origin, block, later, 10, "--first")...))
}

// hasSuccessor reports whether the zone's record in the store says that leader leads and that another VM may
// take over. Before its first record nobody may, unless the VM list drops the leader.
func (s *system) hasSuccessor(zone, leader string) bool {
	var record struct {
		Leader     string
		Successors []string
	}
	store := refplatform.NewClient(refplatform.ClientOptions{StoreURL: s.platform})
	entry, err := store.Get(s.t.Context(), "zones/"+zone+"/record")
	if err != nil || json.Unmarshal(entry.Value, &record) != nil {
		return false
	}
	return record.Leader == leader && len(record.Successors) > 0
}

// pausePlatform pauses the platform's stand-in: requests are served without it.
func pausePlatform(t *testing.T, s *system) {
	wake := pause(t, s.platformProcess)
	for _, e := range s.entries {
		key := "stamp-platform-paused-" + e.name
		report := s.call(e.address, stampArgs(e.region, "1", key, 10, "--first")...)
		if report.Outcome != "done" {
			t.Errorf("without the platform: %+v", report)
		}
		s.truthful(t, key, report)
	}
	wake()
	s.await("publication after the pause", func() error {
		if _, _, code := s.run("publish", s.dir+"/sohar", "--store", s.platform, "--wait", "30s"); code != exitDone {
			return io.ErrNoProgress
		}
		return nil
	})
}

// pauseUpstream pauses the server of a stamp and sends others meanwhile, to it or to its neighbours.
func pauseUpstream(t *testing.T, s *system) {
	const key, origin = "stamp-upstream-paused", "muscat"
	witness := s.entries[3]
	first := make(chan callReport, 1)
	go func() { first <- s.call(witness.address, stampArgs(origin, "1", key, 1000, "--first")...) }()
	wake := pause(t, s.awaitStart(key))
	const others = 4
	reports := make(chan callReport, others)
	keys := make([]string, others)
	for i := range others {
		keys[i] = fmt.Sprintf("%s-%d", key, i)
		go func() {
			r := s.call(witness.address, stampArgs(origin, "1", keys[i], 10, "--first")...)
			r.Key = keys[i]
			reports <- r
		}()
	}
	served := 0
	for range others {
		r := <-reports
		defer s.truthful(t, r.Key, r)
		if r.Outcome == "done" {
			served++
		}
	}
	wake()
	s.truthful(t, key, <-first)
	if served == 0 {
		t.Errorf("nothing of %s was served while one server was paused", strings.Join(keys, ", "))
	}
}
