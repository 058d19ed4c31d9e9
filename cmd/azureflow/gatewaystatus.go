package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strconv"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// gatewayStatus is what an entry VM on the users' platform believes, from its metrics.
type gatewayStatus struct {
	Address  string                   `json:"address"`
	Version  uint64                   `json:"configuration_version"` // 0: none is in force
	EntryVMs int                      `json:"other_entry_vms"`
	Ages     gatewayAges              `json:"copy_ages"`
	Routes   gatewayRoutes            `json:"routes"`
	Services map[string]gatewayBelief `json:"services"` // by name
}

// gatewayAges are the ages of the copies of the store, in milliseconds; negative if there is none.
type gatewayAges struct {
	ServersMs  int64 `json:"servers_ms"`
	OperatorMs int64 `json:"operator_ms"`
}

// gatewayRoutes counts the routes that requests came for.
type gatewayRoutes struct {
	Answered   int `json:"answered"`
	Unanswered int `json:"unanswered"` // of these none was ever answered
}

// gatewayBelief is what is believed of one service.
type gatewayBelief struct {
	Warm        int     `json:"warm"` // servers by state
	Cold        int     `json:"cold"`
	Leaving     int     `json:"leaving"`
	Ejected     int     `json:"ejected"`
	InFlight    int     `json:"in_flight"`
	SlotsTaken  float64 `json:"slots_taken"`  // part of those in the region
	RetryBudget float64 `json:"retry_budget"` // sendings
	Requests    int     `json:"requests"`     // since the process started
	Answered    int     `json:"answered"`     // of these
}

// metricsError reports metrics that cannot be read, or that are not those of a gateway.
type metricsError struct {
	address string
	problem string
}

// Error implements error.
func (e *metricsError) Error() string { return "metrics of " + e.address + ": " + e.problem }

// readGateway reads the metrics of the entry VM at address, host:port. Errors: *unreachableError, *metricsError, *inputError.
func readGateway(ctx context.Context, address string) (*gatewayStatus, error) {
	body, err := open(ctx, "http://"+address+"/metrics", "")
	if err != nil {
		return nil, err
	}
	defer func() { _ = body.Close() }()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(io.LimitReader(body, maxAnswerBytes))
	if err != nil {
		return nil, &metricsError{address: address, problem: err.Error()}
	}
	if families[metricVersion] == nil {
		return nil, &metricsError{address: address, problem: metricVersion + " is missing: not a gateway"}
	}
	return newGatewayStatus(address, families), nil
}

// Metrics of a gateway that its status is made of; docs/OPERATIONS.md says what they mean.
const (
	metricVersion  = "azureflow_gateway_configuration_version"
	metricVMs      = "azureflow_gateway_entry_vms"
	metricAge      = "azureflow_gateway_store_copy_age_seconds"
	metricRoutes   = "azureflow_gateway_routes"
	metricServers  = "azureflow_gateway_servers"
	metricInFlight = "azureflow_gateway_requests_in_flight"
	metricSlots    = "azureflow_gateway_slots_taken_ratio"
	metricBudget   = "azureflow_gateway_retry_budget_sendings"
	metricRequests = "azureflow_gateway_requests_total"
)

func newGatewayStatus(address string, families map[string]*dto.MetricFamily) *gatewayStatus {
	s := &gatewayStatus{
		Address: address, Ages: gatewayAges{ServersMs: -1, OperatorMs: -1}, Services: make(map[string]gatewayBelief),
	}
	for name, family := range families {
		for _, m := range family.GetMetric() {
			s.take(name, &sample{metric: m})
		}
	}
	return s
}

// take notes one value of the metric called name.
func (s *gatewayStatus) take(name string, v *sample) {
	switch name {
	case metricVersion:
		s.Version = uint64(v.value())
	case metricVMs:
		s.EntryVMs = int(v.value())
	case metricAge:
		s.Ages.take(v.label("copy"), v.value())
	case metricRoutes:
		s.Routes.take(v.label("state"), int(v.value()))
	case metricServers, metricInFlight, metricSlots, metricBudget, metricRequests:
		service := v.label("service")
		b := s.Services[service]
		b.take(name, v)
		s.Services[service] = b
	}
}

func (a *gatewayAges) take(copied string, seconds float64) {
	ms := int64(seconds * float64(time.Second/time.Millisecond))
	switch copied {
	case "servers":
		a.ServersMs = ms
	case "operator":
		a.OperatorMs = ms
	}
}

func (r *gatewayRoutes) take(state string, n int) {
	switch state {
	case "answered":
		r.Answered = n
	case "unanswered":
		r.Unanswered = n
	}
}

func (b *gatewayBelief) take(name string, v *sample) {
	switch name {
	case metricServers:
		b.takeServers(v.label("state"), int(v.value()))
	case metricInFlight:
		b.InFlight = int(v.value())
	case metricSlots:
		b.SlotsTaken = v.value()
	case metricBudget:
		b.RetryBudget = v.value()
	case metricRequests:
		b.Requests += int(v.value())
		if v.label("outcome") == "answered" {
			b.Answered += int(v.value())
		}
	}
}

func (b *gatewayBelief) takeServers(state string, n int) {
	switch state {
	case "warm":
		b.Warm = n
	case "cold":
		b.Cold = n
	case "leaving":
		b.Leaving = n
	case "ejected":
		b.Ejected = n
	}
}

// sample is one value of a metric with its labels.
type sample struct{ metric *dto.Metric }

func (s *sample) value() float64 {
	if c := s.metric.GetCounter(); c != nil {
		return c.GetValue()
	}
	return s.metric.GetGauge().GetValue()
}

func (s *sample) label(name string) string {
	for _, l := range s.metric.GetLabel() {
		if l.GetName() == name {
			return l.GetValue()
		}
	}
	return ""
}

// printGateways shows entry VMs beside each other, so that one that lags or believes something else stands out.
func printGateways(all []*gatewayStatus) {
	t := newTable(os.Stdout, "ENTRY VM", "VERSION", "OTHERS", "SERVERS AGE MS", "OPERATOR AGE MS", "ROUTES UNANSWERED")
	for _, s := range all {
		t.row(s.Address, strconv.FormatUint(s.Version, 10), strconv.Itoa(s.EntryVMs), strconv.FormatInt(s.Ages.ServersMs, 10),
			strconv.FormatInt(s.Ages.OperatorMs, 10), fmt.Sprintf("%d of %d", s.Routes.Unanswered, s.Routes.Answered+s.Routes.Unanswered))
	}
	t.flush()
	fmt.Println()
	t = newTable(os.Stdout, "ENTRY VM", "SERVICE", "WARM", "COLD", "LEAVING", "EJECTED", "IN FLIGHT", "SLOTS TAKEN", "RETRY BUDGET", "ANSWERED")
	for _, s := range all {
		for _, name := range slices.Sorted(maps.Keys(s.Services)) {
			b := s.Services[name]
			t.row(s.Address, name, strconv.Itoa(b.Warm), strconv.Itoa(b.Cold), strconv.Itoa(b.Leaving), strconv.Itoa(b.Ejected),
				strconv.Itoa(b.InFlight), percent(b.SlotsTaken), strconv.FormatFloat(b.RetryBudget, 'f', 1, 64),
				fmt.Sprintf("%d of %d", b.Answered, b.Requests))
		}
	}
	t.flush()
}
