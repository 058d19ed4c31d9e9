package main

import (
	"fmt"
	"os"

	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/platform"
)

// checkCommand checks steering files.
type checkCommand struct {
	format
	Paths    []string `arg:"" optional:"" name:"path" help:"Steering files, platform files, or directories that hold them."`
	Operator string   `help:"Check a configuration of the platform's operator (JSON) instead." type:"path"`
}

// Help implements kong.HelpProvider.
func (checkCommand) Help() string {
	return "Prints every fault as file:line:col: message and exits with 1 if there is one.\n\nExample: azureflow check examples/sohar"
}

// checkReport is the JSON form of a report.
type checkReport struct {
	Faults   []steering.Fault `json:"faults"`
	Warnings []steering.Fault `json:"warnings"`
}

// Run implements the command.
func (c *checkCommand) Run() error {
	if c.Operator != "" {
		return c.checkOperator()
	}
	if len(c.Paths) == 0 {
		return &inputError{reason: "nothing to check: name a path, or --operator FILE"}
	}
	tree, report := steering.LoadTree(c.Paths)
	if c.json() {
		if err := printJSON(checkReport{Faults: report.Faults, Warnings: report.Warnings}); err != nil {
			return err
		}
	} else {
		printReport(report)
	}
	if !report.OK() {
		return &inputError{reason: fmt.Sprintf("%d faults", len(report.Faults))}
	}
	if !c.json() {
		fmt.Printf("ok: %d services\n", len(tree.Configuration().Services))
	}
	return nil
}

// checkOperator checks a configuration of the platform's operator and prints what a gateway understands of it.
func (c *checkCommand) checkOperator() error {
	data, err := os.ReadFile(c.Operator)
	if err != nil {
		return err
	}
	config, err := platform.DecodeConfig(data)
	if err != nil {
		return err
	}
	if c.json() {
		return printJSON(config)
	}
	fmt.Printf("ok: version %d, %d routes, %d services\n", config.Version, len(config.Routes), len(config.Services))
	return nil
}

// printReport writes faults and warnings to standard error, one a line.
func printReport(report *steering.Report) {
	for i := range report.Faults {
		fmt.Fprintln(os.Stderr, report.Faults[i].Error())
	}
	for i := range report.Warnings {
		fmt.Fprintln(os.Stderr, report.Warnings[i].Warning())
	}
}
