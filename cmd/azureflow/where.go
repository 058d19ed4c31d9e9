package main

import (
	"context"
	"fmt"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/azureflow/azureflow/internal/gateway"
)

// whereCommand asks a running gateway where a request would go now.
type whereCommand struct {
	format
	Gateway  string        `help:"Metrics address (host:port) of the entry VM." required:""`
	Host     string        `help:"Host of the request." required:""`
	Path     string        `help:"Path of the request." required:""`
	Method   string        `help:"Method of the request. It is shown only: routes do not depend on it." default:"GET"`
	Object   string        `help:"Value of the affinity cookie."`
	Bytes    int32         `help:"Size of the body."`
	Deadline time.Duration `help:"Time after which the caller gives up; 0: it does not say."`
	Account  string        `help:"Name of the client account, not a key."`
	Service  string        `help:"Destination of the route; by default the one with the greatest weight."`
	Tried    []string      `help:"Servers that got the request before, so that it is a retry."`
	JSON     bool          `help:"As --format=json." name:"json"`
}

// Help implements kong.HelpProvider.
func (whereCommand) Help() string {
	return "The request is not sent. Example: azureflow where --gateway 10.1.0.18:9464 --host desk.example --path /saldo/7 --object 7 --deadline 3s"
}

// query returns the parameters of gateway.WherePath.
func (c *whereCommand) query() url.Values {
	q := url.Values{"host": {c.Host}, "path": {c.Path}}
	for parameter, value := range map[string]string{"object": c.Object, "account": c.Account, "service": c.Service} {
		if value != "" {
			q.Set(parameter, value)
		}
	}
	if c.Bytes != 0 {
		q.Set("bytes", strconv.Itoa(int(c.Bytes)))
	}
	if c.Deadline != 0 {
		q.Set("deadline_ms", strconv.FormatInt(c.Deadline.Milliseconds(), 10))
	}
	if len(c.Tried) > 0 {
		q["tried"] = c.Tried
	}
	return q
}

// Run implements the command.
func (c *whereCommand) Run(ctx context.Context) error {
	if c.Deadline != 0 && c.Deadline < time.Millisecond {
		return &inputError{reason: "--deadline must be at least 1ms"}
	}
	var answer gateway.Where
	if err := getJSON(ctx, "http://"+c.Gateway+gateway.WherePath+"?"+c.query().Encode(), "", &answer); err != nil {
		return err
	}
	if c.json() || c.JSON {
		return printJSON(&answer)
	}
	c.print(&answer)
	return nil
}

func (c *whereCommand) print(a *gateway.Where) {
	fmt.Printf("%s http://%s%s at %s, configuration %d\n", c.Method, c.Host, c.Path, a.VM, a.Version)
	fmt.Printf("route %s, kind %s, priority %d, service %s of %s\n", a.Route, a.Kind, a.Priority, a.Service, destinations(a))
	fmt.Printf("%s; response due within %s ms, late after %s ms\n", verdict(a), ms(a.TimeLeftMs), ms(a.TargetLeftMs))
	if a.Admission.Ordered {
		fmt.Printf("%d requests wait for room here; wait at a server of a full region: %s ms if in time, else %s ms\n",
			a.Admission.Waiting, ms(a.Admission.InTimeBoundMs), ms(a.Admission.LateBoundMs))
	}
	if a.MayMove != "" {
		fmt.Printf("%s of the object's requests go to %s, its home, which lacks it\n", percent(a.MoveShare), a.MayMove)
	}
	if a.Servers == 0 {
		return
	}
	fmt.Printf("%d of %d servers, retry budget %.1f\n\n", len(a.Candidates), a.Servers, a.RetryBudget)
	t := newTable(os.Stdout, "", "SERVER", "ZONE", "REGION", "STATE", "WAIT MS", "RUN MS", "ROUND TRIP MS", "COST MS", "REPORT AGE MS", "AGAINST")
	for i := range a.Candidates {
		s := &a.Candidates[i]
		chosen := ""
		if s.Chosen {
			chosen = "->"
		}
		t.row(chosen, s.Server, s.Zone, s.Region, stateOf(s), ms(s.WaitMs), ms(s.RunMs), ms(s.RoundTripMs), ms(s.CostMs), ms(s.ReportAgeMs), against(s))
	}
	t.flush()
}

func destinations(a *gateway.Where) string {
	var all []string
	for _, d := range a.Destinations {
		all = append(all, fmt.Sprintf("%s (weight %g)", d.Service, d.Weight))
	}
	return strings.Join(all, ", ")
}

func verdict(a *gateway.Where) string {
	text := a.Verdict
	if a.Reason != "" {
		text += ", " + a.Reason
	}
	if a.Basis != "" {
		text += " (" + a.Basis + ")"
	}
	if a.Admission.HoldMs > 0 {
		text += ", here for at most " + ms(a.Admission.HoldMs) + " ms"
	}
	if a.Admission.RetryAfterBasis != "" {
		text += fmt.Sprintf(", if refused Retry-After about %s ms (%s)", ms(a.Admission.RetryAfterMs), a.Admission.RetryAfterBasis)
	}
	return text
}

func stateOf(s *gateway.WhereCandidate) string {
	var all []string
	for _, one := range []struct {
		holds bool
		word  string
	}{{s.Home, "home"}, {s.Warm, "warm"}, {s.Cold, "cold"}} {
		if one.holds {
			all = append(all, one.word)
		}
	}
	return strings.Join(all, ",")
}

// against returns why the server cannot get the request, or why the request would be refused there.
func against(s *gateway.WhereCandidate) string {
	if len(s.Against) == 0 && s.Basis != "" {
		return "refused: " + s.Basis
	}
	return strings.Join(s.Against, ",")
}

func ms(v float64) string { return strconv.FormatFloat(v, 'f', 1, 64) }
