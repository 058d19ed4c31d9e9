package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/azureflow/azureflow/internal/demo"
)

// demoCommand runs a deployment in one process.
type demoCommand struct {
	format
	Deployment string        `arg:"" help:"sohar or zollbrugg."`
	Seed       uint64        `help:"Seed of arrivals and service times." default:"1"`
	Duration   time.Duration `help:"Length of the load." default:"10s"`
	Load       float64       `help:"Share of the peak load that the steering files expect." default:"0.6"`
	Fault      []string      `help:"Break something a third into the run; list names what can be broken."`
}

// Help implements kong.HelpProvider.
func (demoCommand) Help() string {
	return "Brings up platform, upstreams and 7 entry VMs at today's sizes with the delays and link rates of the deployment," +
		" loads them, and compares what callers were told with what the upstreams ran.\n\n" +
		"Examples:\n  azureflow demo sohar\n  azureflow demo zollbrugg --fault slow-upstream --format json"
}

// Run implements the command.
func (c *demoCommand) Run(ctx context.Context) error {
	if len(c.Fault) == 1 && c.Fault[0] == "list" {
		for _, line := range demo.FaultNames() {
			fmt.Println(line)
		}
		return nil
	}
	summary, err := demo.Run(ctx, demo.Options{
		Deployment: c.Deployment, Seed: c.Seed, Duration: c.Duration, Load: c.Load, Faults: c.Fault, Log: os.Stderr,
	})
	if err != nil {
		return err
	}
	if c.json() {
		return printJSON(summary)
	}
	return summary.WriteText(os.Stdout)
}
