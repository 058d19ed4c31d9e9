package main

import (
	"context"
	"os"
	"time"

	"github.com/azureflow/azureflow/internal/demo"
)

// experimentCommand runs a deployment in several variants and compares them.
type experimentCommand struct {
	format
	Name     string        `arg:"" help:"Name of the experiment; list names them."`
	Seeds    int           `help:"Runs of each variant, with seeds from 1." default:"3"`
	Duration time.Duration `help:"Length of the load of a run." default:"10s"`
	Plot     string        `help:"File for a plot of the p99s, as SVG; empty: none." type:"path"`
}

// Help implements kong.HelpProvider.
func (experimentCommand) Help() string {
	return "Runs the variants of an experiment in turn with the same seeds, in this process and in real time, and" +
		" prints medians with their spread and ratios to the first variant.\n\n" +
		"Examples:\n  azureflow experiment list\n  azureflow experiment zollbrugg-slow --seeds 5 --plot slow.svg"
}

// Run implements the command.
func (c *experimentCommand) Run(ctx context.Context) error {
	if c.Name == "list" {
		return c.list()
	}
	e, err := demo.FindExperiment(c.Name)
	if err != nil {
		return err
	}
	measured, err := e.Measure(ctx, demo.Options{Duration: c.Duration, Log: os.Stderr}, c.Seeds, demo.Run)
	if err != nil {
		return err
	}
	if err := c.plot(measured); err != nil {
		return err
	}
	if c.json() {
		return printJSON(measured)
	}
	return measured.WriteText(os.Stdout)
}

// list prints the experiments.
func (c *experimentCommand) list() error {
	if c.json() {
		return printJSON(demo.Experiments)
	}
	t := newTable(os.Stdout, "NAME", "DEPLOYMENT", "QUESTION")
	for i := range demo.Experiments {
		e := &demo.Experiments[i]
		t.row(e.Name, e.Deployment, e.About)
	}
	t.flush()
	return nil
}

func (c *experimentCommand) plot(m *demo.Measurement) error {
	if c.Plot == "" {
		return nil
	}
	file, err := os.Create(c.Plot)
	if err != nil {
		return err
	}
	if err := m.WriteSVG(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
