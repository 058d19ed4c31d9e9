package main

import (
	"context"

	"go.uber.org/fx"

	"github.com/azureflow/azureflow/internal/entry"
	"github.com/azureflow/azureflow/internal/steering"
)

// entryCommand runs the daemon of an entry VM.
type entryCommand struct {
	Settings string `help:"Settings file; JSON with comments." required:"" type:"path"`
}

// Help implements kong.HelpProvider.
func (entryCommand) Help() string {
	return "Runs until SIGTERM or SIGINT, then drains: nothing in flight is cut.\n\n" +
		"Example: azureflow entry --settings examples/sohar/settings/batinah-a.jsonc"
}

// Run implements the command.
func (c *entryCommand) Run(ctx context.Context) error {
	settings, err := steering.LoadSettings(c.Settings)
	if err != nil {
		return err
	}
	return runDaemon(ctx, fx.New(entry.Module(entry.Options{Settings: settings}), fx.NopLogger))
}

// runDaemon runs app until ctx ends, then lets it stop in its own time.
func runDaemon(ctx context.Context, app *fx.App) error {
	if err := app.Err(); err != nil {
		return err
	}
	if err := app.Start(ctx); err != nil {
		return err
	}
	<-ctx.Done()
	drain, cancel := context.WithTimeout(context.WithoutCancel(ctx), app.StopTimeout())
	defer cancel()
	return app.Stop(drain)
}
