package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/azureflow/azureflow/internal/admin"
	"github.com/azureflow/azureflow/internal/refplatform"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// waitPoll is the time between two questions to the entry VMs that lag.
const waitPoll = 100 * time.Millisecond

// laggard is an entry VM on which a revision is not in force.
type laggard struct {
	VM     vm.Name    `json:"vm"`
	Reason string     `json:"reason"`
	Since  *time.Time `json:"since,omitempty"` // when the revision that is in force there was taken; nil: not known
}

// waitInForce asks every entry VM of the VM list until revision is in force on all or limit passed, and
// returns those on which it is not.
func waitInForce(ctx context.Context, list refplatform.VMList, revision steering.Revision, limit time.Duration) []laggard {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	rows, err := list.VMs(ctx)
	if err != nil {
		return []laggard{{VM: "every entry VM", Reason: err.Error()}}
	}
	var lagging []laggard
	found := make(chan laggard, len(rows))
	var g errgroup.Group
	for _, row := range rows {
		if row.Kind != vm.KindEntry {
			continue
		}
		g.Go(func() error {
			if lag := waitOne(ctx, row, revision); lag != nil {
				found <- *lag
			}
			return nil
		})
	}
	_ = g.Wait()
	close(found)
	for l := range found {
		lagging = append(lagging, l)
	}
	return lagging
}

// waitOne returns nil once revision is in force on the VM, or why it is not when ctx ends.
func waitOne(ctx context.Context, row vm.VM, revision steering.Revision) *laggard {
	lag := &laggard{VM: row.Name, Reason: "no answer"}
	for {
		var status admin.RevisionStatus
		err := getJSON(ctx, "http://"+row.AdminAddress+"/v1/revision", "", &status)
		switch {
		case err == nil && status.InForce >= revision:
			return nil
		case err == nil:
			lag = lagOf(row.Name, &status)
		case ctx.Err() == nil:
			lag = &laggard{VM: row.Name, Reason: err.Error(), Since: lag.Since}
		}
		select {
		case <-ctx.Done():
			return lag
		case <-time.After(waitPoll):
		}
	}
}

// lagOf tells what is in force on a VM that lags, since when, and what may hold it back.
func lagOf(name vm.Name, s *admin.RevisionStatus) *laggard {
	if s.InForce == 0 {
		return &laggard{VM: name, Reason: strings.Join(append([]string{"no revision is in force"}, s.Causes()...), "; ")}
	}
	reason := fmt.Sprintf("revision %d is in force since %s", s.InForce, s.Since.UTC().Format(time.RFC3339))
	return &laggard{VM: name, Reason: strings.Join(append([]string{reason}, s.Causes()...), "; "), Since: &s.Since}
}
