package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/azureflow/azureflow/caller"
)

// callCommand sends one request as a caller does.
type callCommand struct {
	format
	Service    string        `arg:"" help:"Service to call."`
	Path       string        `arg:"" help:"Path below the service, for example /certificates/7."`
	Method     string        `help:"HTTP method." default:"GET"`
	Data       string        `help:"Body; @FILE reads a file."`
	Entry      []string      `help:"Request addresses (host:port) of entry VMs to ask for a lookup." default:"127.0.1.1:8080" env:"AZUREFLOW_ENTRY"`
	Origin     string        `help:"Region of the caller."`
	Block      string        `help:"Client block of the caller."`
	Key        string        `help:"Idempotency key."`
	First      bool          `help:"Nobody has sent the key before."`
	Previous   []string      `help:"NAME/INCARNATION of entry VMs that may have sent the key before."`
	Header     []string      `help:"Further header, as NAME: VALUE." sep:"none"`
	Idempotent bool          `help:"The request may run more than once."`
	Timeout    time.Duration `help:"Deadline of the request." default:"10s"`
}

// Help implements kong.HelpProvider.
func (callCommand) Help() string {
	return "Prints the answer's body to standard output, and outcome and decision id to standard error.\n\n" +
		"Example: azureflow call stampbook /stamps --method POST --data '{\"batch\":7}' --origin batinah"
}

// callReport is the JSON form of a call.
type callReport struct {
	Outcome  string   `json:"outcome"`
	Status   int      `json:"status,omitempty"`
	Decision string   `json:"decision,omitempty"`
	Entry    string   `json:"entry,omitempty"`
	Server   string   `json:"server,omitempty"`
	Key      string   `json:"key,omitempty"`
	Previous []string `json:"previous,omitempty"`
	Reason   string   `json:"reason,omitempty"`
	Body     string   `json:"body,omitempty"`
}

// Run implements the command.
func (c *callCommand) Run(ctx context.Context) error {
	body, err := c.body()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	client := caller.New(caller.Options{Entries: c.Entry, Origin: c.Origin, Block: c.Block})
	header, err := parseHeaders(c.Header)
	if err != nil {
		return err
	}
	opts := caller.CallOptions{
		Idempotent: c.Idempotent, Key: c.Key, Previous: c.Previous, First: c.First, Header: header,
	}
	answer, err := client.Do(ctx, c.Service, c.Method, c.Path, body, opts)
	if err != nil {
		return c.failed(err)
	}
	defer func() { _ = answer.Body.Close() }()
	return c.answered(answer)
}

func (c *callCommand) body() (io.Reader, error) {
	if c.Data == "" {
		return nil, nil
	}
	name, isFile := strings.CutPrefix(c.Data, "@")
	if !isFile {
		return strings.NewReader(c.Data), nil
	}
	file, err := os.Open(name)
	if err != nil {
		return nil, &inputError{reason: err.Error()}
	}
	return file, nil
}

func (c *callCommand) answered(answer *caller.Answer) error {
	if !c.json() {
		if _, err := io.Copy(os.Stdout, answer.Body); err != nil {
			return err
		}
		fmt.Println()
		fmt.Fprintf(os.Stderr, "%s status=%d decision=%s entry=%s\n", answer.Outcome, answer.Status, answer.Decision, answer.Entry)
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return err
	}
	return printJSON(&callReport{
		Outcome: answer.Outcome, Status: answer.Status, Decision: answer.Decision, Entry: answer.Entry,
		Server: answer.Header.Get("Standin-Server"), Body: string(body),
	})
}

func (c *callCommand) failed(err error) error {
	report := callReport{Reason: err.Error()}
	var notRun *caller.NotRunError
	var unknown *caller.UnknownError
	switch {
	case errors.As(err, &notRun):
		report.Outcome, report.Decision = "not-run", notRun.Refusal.Decision
	case errors.As(err, &unknown):
		report.Outcome, report.Decision = "unknown", unknown.Refusal.Decision
		report.Key, report.Previous = unknown.Key, unknown.Previous
	default:
		return &unreachableError{what: "an entry VM", cause: err}
	}
	if c.json() {
		if printErr := printJSON(&report); printErr != nil {
			return printErr
		}
	}
	if report.Outcome == "unknown" {
		fmt.Fprintf(os.Stderr, "to ask again: --key %s --previous %s\n", report.Key, strings.Join(report.Previous, ","))
	}
	return err
}
