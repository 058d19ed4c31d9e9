package main

import (
	"fmt"
	"os"
	"runtime"
)

// versionCommand prints the version.
type versionCommand struct {
	format
}

// versionReport is what the command prints.
type versionReport struct {
	Version string `json:"version"`
	Go      string `json:"go"`       // of the toolchain that built it
	System  string `json:"platform"` // operating system and processor
}

// Help implements kong.HelpProvider.
func (versionCommand) Help() string { return "Example: azureflow version --format json" }

// Run implements the command.
func (c *versionCommand) Run() error {
	report := versionReport{Version: version, Go: runtime.Version(), System: runtime.GOOS + "/" + runtime.GOARCH}
	if c.json() {
		return printJSON(report)
	}
	_, err := fmt.Fprintln(os.Stdout, "azureflow", report.Version, report.Go, report.System)
	return err
}
