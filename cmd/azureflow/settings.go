package main

import (
	"fmt"

	"github.com/azureflow/azureflow/internal/steering"
)

// settingsCommand prints the settings in force.
type settingsCommand struct {
	File  string `arg:"" help:"Settings file; JSON with comments."`
	Print bool   `help:"Print the settings in force; otherwise the file is only checked."`
}

// Help implements kong.HelpProvider.
func (settingsCommand) Help() string {
	return "Example: azureflow settings --print examples/sohar/settings/batinah-a.jsonc"
}

// Run implements the command.
func (c *settingsCommand) Run() error {
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
