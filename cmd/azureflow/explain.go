package main

import (
	"context"
	"net/url"
	"os"
	"time"

	"github.com/azureflow/azureflow/internal/steering"
)

// explainCommand explains one decision, or what happened to a service in a time.
type explainCommand struct {
	format
	adminFlags
	ID      string               `arg:"" optional:"" help:"Decision id, from the header Azureflow-Decision."`
	Service steering.ServiceName `help:"Explain what happened to this service."`
	From    time.Time            `help:"Begin, RFC 3339." format:"2006-01-02T15:04:05Z07:00"`
	To      time.Time            `help:"End, RFC 3339; default now." format:"2006-01-02T15:04:05Z07:00"`
}

// Help implements kong.HelpProvider.
func (explainCommand) Help() string {
	return "Examples:\n  azureflow explain batinah-a-1.1764841000000.42\n" +
		"  azureflow explain --service certdesk --from 2026-12-04T09:00:00Z --to 2026-12-04T09:10:00Z"
}

// Run implements the command.
func (c *explainCommand) Run(ctx context.Context) error {
	query := url.Values{"format": {c.Format}}
	switch {
	case c.ID != "":
		query.Set("id", c.ID)
	case c.Service != "" && !c.From.IsZero():
		if c.To.IsZero() {
			c.To = time.Now()
		}
		query.Set("service", string(c.Service))
		query.Set("from", c.From.Format(time.RFC3339))
		query.Set("to", c.To.Format(time.RFC3339))
	default:
		return &inputError{reason: "give a decision id, or --service and --from"}
	}
	return c.copyPage(ctx, "/v1/explain?"+query.Encode(), os.Stdout)
}
