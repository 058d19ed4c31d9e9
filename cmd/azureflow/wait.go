package main

import (
	"context"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/azureflow/azureflow/internal/admin"
	"github.com/azureflow/azureflow/internal/platform"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// waitPoll is the time between two questions to the entry VMs that lag.
const waitPoll = 100 * time.Millisecond

// laggard is an entry VM on which a revision is not in force.
type laggard struct {
	VM     vm.Name `json:"vm"`
	Reason string  `json:"reason"`
}

// waitInForce asks every entry VM of the VM list until revision is in force on all or limit passed, and
// returns those on which it is not.
func waitInForce(ctx context.Context, list platform.VMList, revision steering.Revision, limit time.Duration) []laggard {
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
			if reason := waitOne(ctx, row, revision); reason != "" {
				found <- laggard{VM: row.Name, Reason: reason}
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

// waitOne returns "" once revision is in force on the VM, or why it is not when ctx ends.
func waitOne(ctx context.Context, row vm.VM, revision steering.Revision) string {
	reason := "no answer"
	for {
		var status admin.RevisionStatus
		err := getJSON(ctx, "http://"+row.AdminAddress+"/v1/revision", "", &status)
		switch {
		case err == nil && status.InForce >= revision:
			return ""
		case err == nil:
			reason = "revision " + strconv.FormatUint(uint64(status.InForce), 10)
		case ctx.Err() == nil:
			reason = err.Error()
		}
		select {
		case <-ctx.Done():
			return reason
		case <-time.After(waitPoll):
		}
	}
}
