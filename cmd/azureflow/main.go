// Command azureflow steers traffic from callers over regions to upstreams. See README.md.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// version is set by the linker for a release.
var version = "0.1.0-dev"

// commands is the command line.
type commands struct {
	Entry      entryCommand      `cmd:"" help:"Run the daemon of an entry VM."`
	Gateway    gatewayCommand    `cmd:"" help:"Run an entry VM on the users' platform."`
	Check      checkCommand      `cmd:"" help:"Check steering files, offline."`
	Publish    publishCommand    `cmd:"" help:"Put steering files in force."`
	Lookup     lookupCommand     `cmd:"" help:"Ask which entry VM a caller should use."`
	Call       callCommand       `cmd:"" help:"Send one request and print answer, outcome and decision id."`
	Explain    explainCommand    `cmd:"" help:"Say what was decided and why."`
	Status     statusCommand     `cmd:"" help:"Show entry VMs, zones, links, contracts, upstreams and the revision in force."`
	Where      whereCommand      `cmd:"" help:"Ask an entry VM on the users' platform where a request would go now, without sending it."`
	Settings   settingsCommand   `cmd:"" help:"Print the settings in force for a settings file, defaults included."`
	Standin    standinCommand    `cmd:"" help:"Run a stand-in of the platform or of an upstream, for tests."`
	Demo       demoCommand       `cmd:"" help:"Run a whole deployment in one process for a short while."`
	Experiment experimentCommand `cmd:"" help:"Compare variants of a deployment over several seeds."`
	Load       loadCommand       `cmd:"" help:"Send open-loop load and compare it with direct calls."`
	Version    versionCommand    `cmd:"" help:"Print the version."`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run parses args, runs the command and returns the exit code.
func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	command, err := newParser(ctx).Parse(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "azureflow:", err)
		return exitUsage
	}
	if err := command.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "azureflow:", err)
		return exitCode(err)
	}
	return exitDone
}

// newParser returns the command line; commands get ctx.
func newParser(ctx context.Context) *kong.Kong {
	return kong.Must(&commands{},
		kong.Name("azureflow"),
		kong.Description("Global traffic steering. Exit codes: 0 done, 1 the input is wrong, 2 usage, 3 the system could not be reached."),
		kong.UsageOnError(),
		kong.BindTo(ctx, (*context.Context)(nil)),
	)
}
