package main

import (
	"context"
	"fmt"
	"net/url"
	"os"
	"strconv"

	"github.com/azureflow/azureflow/internal/lookup"
)

// lookupCommand asks which entry VM a caller should use.
type lookupCommand struct {
	format
	Service string `arg:"" help:"Service to be called."`
	Entry   string `help:"Request address (host:port) of any entry VM." default:"127.0.1.1:8080" env:"AZUREFLOW_ENTRY"`
	Origin  string `help:"Region of the caller."`
	Block   string `help:"Client block of the caller."`
}

// Help implements kong.HelpProvider.
func (lookupCommand) Help() string {
	return "Example: azureflow lookup certdesk --entry 127.0.1.1:8080 --origin batinah"
}

// Run implements the command.
func (c *lookupCommand) Run(ctx context.Context) error {
	query := url.Values{"service": {c.Service}}
	if c.Origin != "" {
		query.Set("origin", c.Origin)
	}
	if c.Block != "" {
		query.Set("block", c.Block)
	}
	var answer lookup.Response
	if err := getJSON(ctx, "http://"+c.Entry+lookup.Path+"?"+query.Encode(), "", &answer); err != nil {
		return err
	}
	if c.json() {
		return printJSON(&answer)
	}
	fmt.Printf("%s, good for %d ms, decision %s\n", answer.Reason, answer.LifetimeMs, answer.Decision)
	if answer.Stale {
		fmt.Printf("knowledge is %d ms old\n", answer.KnowledgeAgeMs)
	}
	t := newTable(os.Stdout, "ENTRY VM", "ADDRESS", "INCARNATION")
	for _, e := range answer.Entries {
		t.row(string(e.Name), e.Address, strconv.FormatUint(uint64(e.Incarnation), 10))
	}
	t.flush()
	return nil
}
