package admin

import (
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/azureflow/azureflow/internal/admin/problem"
	"github.com/azureflow/azureflow/internal/steering"
)

// Limits and defaults of query parameters.
const (
	defaultLimit     = 100 // rows of a page
	maxLimit         = 1000
	maxValueBytes    = 256
	defaultTimeRange = 15 * time.Minute // of decisions and explanations
)

// parameters are the parameters of a request, all of them optional.
type parameters struct {
	team    steering.TeamName
	service steering.ServiceName
	region  steering.RegionName
	zone    steering.ZoneName
	id      string
	format  string // json or text
	limit   int    // rows
	cursor  string // key of the last row of the previous page
	from    time.Time
	to      time.Time
}

// parseQuery parses the query; only the parameters in allowed are accepted.
func parseQuery(raw string, now time.Time, allowed ...string) (parameters, *problem.Problem) {
	p := parameters{limit: defaultLimit, format: "json", from: now.Add(-defaultTimeRange), to: now}
	values, err := url.ParseQuery(raw)
	if err != nil {
		return p, problem.New(problem.KindParameter, http.StatusBadRequest, "the query cannot be read: "+err.Error())
	}
	for _, name := range sortedNames(values) {
		if !slices.Contains(allowed, name) {
			return p, problem.Parameter(name, "unknown parameter")
		}
		if len(values[name]) > 1 {
			return p, problem.Parameter(name, "given more than once")
		}
		if len(values[name][0]) > maxValueBytes {
			return p, problem.Parameter(name, "longer than "+strconv.Itoa(maxValueBytes)+" bytes")
		}
		if prob := p.set(name, values[name][0], now); prob != nil {
			return p, prob
		}
	}
	return p, nil
}

func sortedNames(values url.Values) []string {
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (p *parameters) set(name, value string, now time.Time) *problem.Problem {
	switch name {
	case "team":
		p.team = steering.TeamName(value)
	case "service":
		p.service = steering.ServiceName(value)
	case "region":
		p.region = steering.RegionName(value)
	case "zone":
		p.zone = steering.ZoneName(value)
	case "id":
		p.id = value
	case "cursor":
		p.cursor = value
	case "format":
		return p.setFormat(value)
	case "limit":
		return p.setLimit(value)
	case "from":
		return parseTime(&p.from, name, value, now)
	case "to":
		return parseTime(&p.to, name, value, now)
	}
	return nil
}

func (p *parameters) setFormat(value string) *problem.Problem {
	if value != "json" && value != "text" {
		return problem.Parameter("format", "expected json or text")
	}
	p.format = value
	return nil
}

func (p *parameters) setLimit(value string) *problem.Problem {
	limit, err := strconv.Atoi(value)
	if err != nil || limit < 1 || limit > maxLimit {
		return problem.Parameter("limit", "expected a number from 1 to "+strconv.Itoa(maxLimit))
	}
	p.limit = limit
	return nil
}

// parseTime parses an RFC 3339 time, or a duration before now such as "15m".
func parseTime(t *time.Time, name, value string, now time.Time) *problem.Problem {
	if ago, err := time.ParseDuration(value); err == nil && ago >= 0 {
		*t = now.Add(-ago)
		return nil
	}
	at, err := time.Parse(time.RFC3339, value)
	if err != nil {
		return problem.Parameter(name, "expected an RFC 3339 time such as 2030-01-02T15:04:05Z, or how long ago such as 15m")
	}
	*t = at
	return nil
}
