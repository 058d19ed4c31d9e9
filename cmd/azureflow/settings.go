package main

import (
	"fmt"
	"path/filepath"

	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/platform"
)

// settingsCommand prints the settings in force.
type settingsCommand struct {
	File  string `arg:"" help:"Settings file: JSON with comments, or the platform's own, which ends in .toml."`
	Print bool   `help:"Print the settings in force; otherwise the file is only checked."`
}

// Help implements kong.HelpProvider.
func (settingsCommand) Help() string {
	return "Example: azureflow settings --print examples/sohar/settings/batinah-a.jsonc"
}

// Run implements the command.
func (c *settingsCommand) Run() error {
	if filepath.Ext(c.File) == ".toml" {
		return c.printPlatform()
	}
	settings, err := steering.LoadSettings(c.File)
	if err != nil {
		return err
	}
	if !c.Print {
		fmt.Println("ok")
		return nil
	}
	fmt.Print(settings.Text())
	return nil
}

// printPlatform prints what a gateway understands of the platform's settings file.
func (c *settingsCommand) printPlatform() error {
	settings, err := platform.LoadSettings(c.File)
	if err != nil {
		return err
	}
	if !c.Print {
		fmt.Println("ok")
		return nil
	}
	return printJSON(settings)
}
