package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/azureflow/azureflow/internal/load"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/platform"
)

// loadCommand sends load and compares it with direct calls.
type loadCommand struct {
	format
	Service   string        `arg:"" help:"Service to call; with --directory the host that requests name."`
	Path      string        `arg:"" help:"Path below the service; with --directory the whole path."`
	Method    string        `help:"HTTP method." default:"GET"`
	Data      string        `help:"Body."`
	Header    []string      `help:"Further header, as NAME: VALUE." sep:"none"`
	Entry     []string      `help:"Request addresses (host:port) of entry VMs." default:"127.0.1.1:8080" env:"AZUREFLOW_ENTRY"`
	Directory []string      `help:"Directories (host:port) of entry VMs on the users' platform, nearest first; load goes where they say."`
	Direct    string        `help:"Address (host:port) of an upstream to call directly in the same run."`
	Origin    string        `help:"Region of the callers."`
	Zone      string        `help:"Availability zone of the callers, with --directory."`
	Rate      float64       `help:"Requests a second, for each of both." default:"100"`
	Duration  time.Duration `help:"Length of the load." default:"10s"`
	Timeout   time.Duration `help:"Deadline of a request." default:"5s"`
	Seed      uint64        `help:"Seed of the moments of sending." default:"1"`
}

// Help implements kong.HelpProvider.
func (loadCommand) Help() string {
	return "Open loop: a request is sent when it is due, whatever became of earlier ones.\n\n" +
		"Example: azureflow load certdesk /certificates/7 --entry 127.0.1.1:8080 --direct 127.0.2.1:8000 --rate 200\n\n" +
		"On the users' platform: azureflow load desk.example /lepu270/2f --directory 10.1.0.18:8383 --origin batinah --zone sohar-a"
}

// Run implements the command.
func (c *loadCommand) Run(ctx context.Context) error {
	header, err := parseHeaders(c.Header)
	if err != nil {
		return err
	}
	if c.Rate <= 0 {
		return &inputError{reason: "--rate must be above 0"}
	}
	r := load.Run(ctx, load.Options{
		Entries: c.Entry, Gateways: c.gateways(), Direct: c.Direct, Origin: c.Origin, Service: c.Service,
		Method: c.Method, Path: c.Path, Body: c.Data, Header: header,
		Rate: c.Rate, Duration: c.Duration, Timeout: c.Timeout, Seed: c.Seed,
	})
	if c.json() {
		return printJSON(r)
	}
	printLoad(r)
	if r.Entry.Done == 0 {
		return &unreachableError{what: "the service", cause: &inputError{reason: "no request was answered"}}
	}
	return nil
}

// gateways returns the entry VMs on the users' platform that load is sent to, nil without --directory.
func (c *loadCommand) gateways() *load.Gateways {
	if len(c.Directory) == 0 {
		return nil
	}
	var resolver platform.Resolver
	return &load.Gateways{
		Directories: c.Directory, Host: c.Service, Region: steering.RegionName(c.Origin), Zone: steering.ZoneName(c.Zone),
		Resolve: resolver.Resolve, Headers: platform.Headers(),
	}
}

func printLoad(r *load.Result) {
	t := newTable(os.Stdout, "", "REQUESTS", "DONE", "P50 MS", "P99 MS", "P99.9 MS", "MAX MS")
	row := func(name string, s *load.Series) {
		t.row(name, strconv.Itoa(s.Requests), strconv.Itoa(s.Done), millis(s.P50Ms), millis(s.P99Ms), millis(s.P999Ms), millis(s.MaxMs))
	}
	row("through entry VMs", &r.Entry)
	if r.Direct != nil {
		row("directly", r.Direct)
	}
	t.flush()
	if r.Direct != nil {
		fmt.Printf("ratio to direct calls: p50 %.2f, p99 %.2f\n", r.RatioP50, r.RatioP99)
	}
}

func millis(v float64) string { return strconv.FormatFloat(v, 'f', 2, 64) }

// parseHeaders reads lines of NAME: VALUE.
func parseHeaders(lines []string) (http.Header, error) {
	header := http.Header{}
	for _, line := range lines {
		name, value, found := strings.Cut(line, ":")
		if !found {
			return nil, &inputError{reason: "header " + line + ": expected NAME: VALUE"}
		}
		header.Add(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	return header, nil
}
