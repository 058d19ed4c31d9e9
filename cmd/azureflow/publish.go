package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/refplatform"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// publishCommand puts steering files in force.
type publishCommand struct {
	format
	Paths  []string               `arg:"" optional:"" name:"path" help:"Steering files, platform files, or directories that hold them."`
	Store  string                 `help:"URL of the platform's store." default:"http://127.0.0.1:7400" env:"AZUREFLOW_STORE"`
	VMList string                 `help:"URL of the VM list; by default the store's." env:"AZUREFLOW_VM_LIST"`
	Base   steering.Revision      `help:"Revision the files were written against; 0: the one in force."`
	DryRun bool                   `help:"Show the difference to what is in force and what it moves; write nothing."`
	Wait   time.Duration          `help:"Wait until it is in force on every entry VM, and name those on which it is not."`
	Settle steering.PublicationID `help:"Find out what became of a publication whose outcome was unknown."`
}

// Help implements kong.HelpProvider.
func (publishCommand) Help() string {
	return "Example: azureflow publish examples/sohar --store http://127.0.0.1:7400 --wait 5s"
}

// publishReport is the JSON form of a publication.
type publishReport struct {
	Result     steering.PublishResult `json:"result"`
	NotInForce []laggard              `json:"not_in_force"`
}

// Run implements the command.
func (c *publishCommand) Run(ctx context.Context) error {
	client := c.client()
	pool := peer.NewPool(nil)
	defer func() { _ = pool.Close() }()
	publisher := steering.NewPublisher(steering.PublisherOptions{
		Store:          client,
		HighestInForce: steering.HighestFromPeers(pool, peerAddresses(client)),
	})
	if c.Settle != "" {
		return c.settle(ctx, publisher)
	}
	tree, report := steering.LoadTree(c.Paths)
	printReport(report)
	if !report.OK() {
		return &inputError{reason: fmt.Sprintf("%d faults", len(report.Faults))}
	}
	result, err := publisher.Publish(ctx, tree, steering.PublishOptions{Base: c.Base, DryRun: c.DryRun})
	if err != nil {
		return explainUnknown(err)
	}
	out := publishReport{Result: result, NotInForce: []laggard{}}
	if c.Wait > 0 && !c.DryRun {
		out.NotInForce = waitInForce(ctx, client, result.Revision, c.Wait)
	}
	if c.json() {
		return printJSON(out)
	}
	c.print(&out)
	if len(out.NotInForce) > 0 {
		return &unreachableError{what: "some entry VMs", cause: &inputError{reason: "revision not in force there yet"}}
	}
	return nil
}

func (c *publishCommand) client() *refplatform.Client {
	list := c.VMList
	if list == "" {
		list = c.Store
	}
	return refplatform.NewClient(refplatform.ClientOptions{StoreURL: c.Store, VMListURL: list, Name: "publish"})
}

// peerAddresses returns a function that lists the peer addresses of the entry VMs.
func peerAddresses(list refplatform.VMList) func(ctx context.Context) ([]string, error) {
	return func(ctx context.Context) ([]string, error) {
		rows, err := list.VMs(ctx)
		if err != nil {
			return nil, err
		}
		var addresses []string
		for _, row := range rows {
			if row.Kind == vm.KindEntry && row.PeerAddress != "" {
				addresses = append(addresses, row.PeerAddress)
			}
		}
		return addresses, nil
	}
}

func (c *publishCommand) settle(ctx context.Context, p *steering.Publisher) error {
	settlement, err := p.Settle(ctx, c.Settle)
	if err != nil {
		return err
	}
	if c.json() {
		return printJSON(settlement)
	}
	if settlement.Accepted {
		fmt.Printf("accepted as revision %d\n", settlement.Revision)
		return nil
	}
	fmt.Printf("not accepted; revision %d is in force\n", settlement.Revision)
	return nil
}

// explainUnknown adds the command that settles an unknown outcome.
func explainUnknown(err error) error {
	var unknown *steering.OutcomeUnknownError
	if errors.As(err, &unknown) {
		fmt.Fprintf(os.Stderr, "to settle it: azureflow publish --settle %s\n", unknown.Publication)
		return &unreachableError{what: "the store's answer", cause: err}
	}
	return err
}

func (c *publishCommand) print(out *publishReport) {
	result := &out.Result
	switch {
	case c.DryRun:
		fmt.Println("dry run; nothing was written")
	case result.Unchanged:
		fmt.Printf("unchanged: revision %d says the same\n", result.Revision)
	default:
		fmt.Printf("revision %d accepted (publication %s)\n", result.Revision, result.Publication)
	}
	printDifference(result.Difference)
	if c.Wait > 0 && len(out.NotInForce) == 0 {
		fmt.Println("in force on every entry VM")
	}
	for _, l := range out.NotInForce {
		fmt.Printf("not in force on %s: %s\n", l.VM, l.Reason)
	}
}

func printDifference(d *steering.Difference) {
	if d == nil {
		return
	}
	for _, change := range d.Changes {
		name := string(change.Service)
		if name == "" {
			name = "platform"
		}
		fmt.Printf("  %s %s\n", change.Kind, name)
		for _, f := range change.Fields {
			fmt.Printf("    %s: %s -> %s\n", f.Path, orNone(f.From), orNone(f.To))
		}
	}
	for _, s := range d.Shares {
		fmt.Printf("  %s in %s: share %s -> %s, %+.1f Mbit/s, %d windows of the shift cap\n",
			s.Service, s.Region, percent(s.From), percent(s.To), s.Mbit, s.Windows)
	}
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

func percent(share float64) string {
	const hundred = 100
	return strconv.FormatFloat(share*hundred, 'f', 1, 64) + "%"
}
