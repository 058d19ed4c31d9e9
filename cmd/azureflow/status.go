package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/azureflow/azureflow/internal/admin"
)

// statusCommand shows the state of the system as one entry VM knows it.
type statusCommand struct {
	format
	adminFlags
	Gateway []string `help:"Entry VMs on the users' platform to show beside each other instead, by their metrics addresses (10.1.0.18:9464,...)."`
}

// Help implements kong.HelpProvider.
func (statusCommand) Help() string { return "Example: azureflow status --admin 127.0.1.1:9000" }

// statusReport is everything that status shows.
type statusReport struct {
	Revision  admin.RevisionStatus          `json:"revision"`
	VMs       admin.Page[admin.VMRow]       `json:"vms"`
	Zones     admin.Page[admin.ZoneRow]     `json:"zones"`
	Regions   admin.Page[admin.RegionRow]   `json:"regions"`
	Links     admin.Page[admin.LinkRow]     `json:"links"`
	Contracts admin.Page[admin.ContractRow] `json:"contracts"`
	Upstreams admin.Page[admin.UpstreamRow] `json:"upstreams"`
}

// Run implements the command.
func (c *statusCommand) Run(ctx context.Context) error {
	if len(c.Gateway) > 0 {
		return c.showGateways(ctx)
	}
	var s statusReport
	for _, page := range []struct {
		path string
		into any
	}{
		{"/v1/revision", &s.Revision}, {"/v1/vms", &s.VMs}, {"/v1/zones", &s.Zones}, {"/v1/regions", &s.Regions},
		{"/v1/links", &s.Links}, {"/v1/contracts", &s.Contracts}, {"/v1/upstreams", &s.Upstreams},
	} {
		if err := c.get(ctx, page.path, page.into); err != nil {
			return err
		}
	}
	if c.json() {
		return printJSON(&s)
	}
	s.print()
	return nil
}

// showGateways shows what entry VMs on the users' platform believe, also where some cannot be read; the first error is
// returned then.
func (c *statusCommand) showGateways(ctx context.Context) error {
	var all []*gatewayStatus
	var failed error
	for _, address := range c.Gateway {
		s, err := readGateway(ctx, address)
		if err == nil {
			all = append(all, s)
		} else if failed == nil {
			failed = err
		}
	}
	if !c.json() {
		printGateways(all)
	} else if err := printJSON(all); err != nil {
		return err
	}
	return failed
}

func (s *statusReport) print() {
	fmt.Printf("revision %d in force since %s, highest known %d\n",
		s.Revision.InForce, s.Revision.Since.UTC().Format(time.RFC3339), s.Revision.Highest)
	for _, l := range s.Revision.Lagging {
		fmt.Printf("  %s lags at revision %d since %s\n", l.VM, l.Revision, l.Since.UTC().Format(time.RFC3339))
	}
	for _, cause := range s.Revision.Causes() {
		fmt.Printf("  here: %s\n", cause)
	}
	for _, a := range s.Revision.Alarms {
		fmt.Printf("  alarm %s: %s\n", a.Name, a.Detail)
	}
	s.printVMs()
	s.printZones()
	s.printRegions()
	s.printLinks()
	s.printContracts()
	s.printUpstreams()
}

func (s *statusReport) printVMs() {
	fmt.Println()
	t := newTable(os.Stdout, "ENTRY VM", "ZONE", "STATE", "REVISION", "HEARD MS", "IN USE")
	for _, v := range s.VMs.Items {
		t.row(string(v.Name), string(v.Zone), v.State, strconv.FormatUint(uint64(v.Revision), 10),
			strconv.FormatInt(v.LastContactMs, 10), percent(v.Utilization))
	}
	t.flush()
}

func (s *statusReport) printZones() {
	fmt.Println()
	t := newTable(os.Stdout, "ZONE", "REGION", "LEADER", "EPOCH", "ENTRY VMS", "UPSTREAMS")
	for _, z := range s.Zones.Items {
		t.row(string(z.Name), string(z.Region), string(z.Leader), strconv.FormatUint(z.LeaderEpoch, 10),
			strconv.Itoa(z.EntryVMs), strconv.Itoa(z.Upstreams))
	}
	t.flush()
}

func (s *statusReport) printRegions() {
	fmt.Println()
	t := newTable(os.Stdout, "SERVICE", "REGION", "SHARE", "BOUND BY", "SLOTS", "USABLE HERE", "IN FLIGHT")
	for _, r := range s.Regions.Items {
		t.row(string(r.Service), string(r.Region), percent(r.Share), string(r.Constraint),
			strconv.Itoa(r.Slots), strconv.Itoa(r.Usable), strconv.Itoa(r.InFlight))
	}
	t.flush()
}

func (s *statusReport) printLinks() {
	fmt.Println()
	t := newTable(os.Stdout, "FROM", "TO", "MBIT/S", "SHARE", "PEAK", "HEADROOM")
	for _, l := range s.Links.Items {
		t.row(string(l.From), string(l.To), mbit(l.CapacityMbit), mbit(l.ShareMbit), mbit(l.PeakMbit), percent(l.HeadroomShare))
	}
	t.flush()
}

func (s *statusReport) printContracts() {
	fmt.Println()
	t := newTable(os.Stdout, "SERVICE", "ZONE", "KIND", "SLOTS", "IN USE", "EPOCH")
	for _, c := range s.Contracts.Items {
		t.row(string(c.Service), string(c.Zone), c.Kind, strconv.Itoa(c.Slots), strconv.Itoa(c.InUse), strconv.FormatUint(c.Epoch, 10))
	}
	t.flush()
}

func (s *statusReport) printUpstreams() {
	fmt.Println()
	t := newTable(os.Stdout, "UPSTREAM", "SERVICE", "ZONE", "STATE", "SLOTS", "IN FLIGHT", "LATENCY MS")
	for _, u := range s.Upstreams.Items {
		t.row(string(u.Name), string(u.Service), string(u.Zone), u.State, strconv.Itoa(u.Slots),
			strconv.Itoa(u.InFlight), strconv.FormatFloat(u.LatencyMs, 'f', 1, 64))
	}
	t.flush()
}

func mbit(v float64) string { return strconv.FormatFloat(v, 'f', 1, 64) }
