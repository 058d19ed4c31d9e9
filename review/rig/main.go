// Command rig runs one case of the review: it starts gateways as separate processes with the command of the deploy file
// and stand-ins of the platform's store, the servers and the clients in this process, all on loopback addresses and the
// real clock. It writes what was sent, answered and run to a record and judges it by one rule.
//
// Usage: rig CASE RECORD. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run. With TROUBLE=0 in the
// environment the disruption is left out.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// caseLimit ends a case that hangs.
const caseLimit = 110 * time.Second

// errSetup reports that a case could not run.
var errSetup = errors.New("the case could not run")

// cases are the cases by name. Each returns the violations of its rule.
var cases = map[string]func(w *world) ([]string, error){
	"odd-entry":     oddEntry,
	"late-reader":   lateReader,
	"cold-server":   coldServer,
	"late-beat":     lateBeat,
	"wrong-address": wrongAddress,
	"wrong-service": wrongService,
}

func main() { os.Exit(runCase(os.Args[1:])) }

func runCase(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		return exitCannotRun
	}
	rec, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer rec.close()
	w, err := newWorld(rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.printf("cannot run: %v", err)
		return exitCannotRun
	}
	defer w.stop()
	type result struct {
		violations []string
		err        error
	}
	done := make(chan result, 1)
	go func() {
		violations, err := cases[args[0]](w)
		done <- result{violations, err}
	}()
	select {
	case r := <-done:
		return report(rec, r.violations, r.err)
	case <-time.After(caseLimit):
		rec.printf("cannot run: not done after %v", caseLimit)
		return exitCannotRun
	}
}

func report(rec *record, violations []string, err error) int {
	if err != nil {
		rec.printf("cannot run: %v", err)
		return exitCannotRun
	}
	for _, v := range violations {
		rec.printf("VIOLATION %s", v)
	}
	rec.printf("violations: %d", len(violations))
	if len(violations) > 0 {
		return exitBroken
	}
	return exitHeld
}
