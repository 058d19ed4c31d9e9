package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/fx"

	"github.com/azureflow/azureflow/internal/gateway"
	"github.com/azureflow/azureflow/internal/telemetry"
	"github.com/azureflow/azureflow/platform"
)

// gatewayCommand runs an entry VM on the users' platform.
type gatewayCommand struct {
	Settings string `help:"Settings file in the platform's format." env:"AZUREFLOW_NODE_FILE" required:"" type:"path"`
}

// Help implements kong.HelpProvider.
func (gatewayCommand) Help() string {
	return "Runs until SIGTERM or SIGINT, then leaves the directory and ends once nothing is in flight.\n\n" +
		"Example: azureflow gateway --settings settings.toml"
}

// Run implements the command.
func (c *gatewayCommand) Run(ctx context.Context) error {
	settings, err := platform.LoadSettings(c.Settings)
	if err != nil {
		return err
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	logs := telemetry.NewAsyncWriter(os.Stdout, logBuffer)
	defer awaitLogs(logs)
	reload := func() (*gateway.Settings, error) { return platform.LoadSettings(c.Settings) }
	return runDaemon(ctx, fx.New(fx.NopLogger, gateway.Module(gateway.Options{
		Settings: settings, Catalog: platform.Catalog(), LogWriter: logs, ReloadSignals: hangups, Reload: reload,
	})))
}

const (
	logBuffer = 1024                   // lines
	logFlush  = 100 * time.Millisecond // for the last lines of a process that stops
)

// awaitLogs waits until the last lines are written, or their reader does not take them.
func awaitLogs(logs *telemetry.AsyncWriter) {
	select {
	case <-logs.Close():
	case <-time.After(logFlush):
	}
}
