package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/azureflow/azureflow/internal/forward"
	"github.com/azureflow/azureflow/internal/placement"
)

// stateCollector exports the state of this entry VM at the time of a scrape.
type stateCollector struct {
	follower *follower
	presence *presence
	chooser  *placement.Chooser
	handler  *forward.Handler

	servers     *prometheus.Desc
	inFlight    *prometheus.Desc
	utilization *prometheus.Desc
	budget      *prometheus.Desc
	peers       *prometheus.Desc
	age         *prometheus.Desc
	confirmed   *prometheus.Desc
	version     *prometheus.Desc
	routes      *prometheus.Desc
	waiting     *prometheus.Desc
	era         *prometheus.Desc
}

var _ prometheus.Collector = (*stateCollector)(nil)

func newStateCollector(f *follower, p *presence, c *placement.Chooser, h *forward.Handler) *stateCollector {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(prometheus.BuildFQName("azureflow", "gateway", name), help, labels, nil)
	}
	return &stateCollector{
		follower: f, presence: p, chooser: c, handler: h,
		servers:     desc("servers", "Servers by what is believed of them.", "service", "state"),
		inFlight:    desc("requests_in_flight", "Requests of this entry VM at servers.", "service"),
		utilization: desc("slots_taken_ratio", "Part of the slots in this region that is taken.", "service"),
		budget:      desc("retry_budget_sendings", "Sendings beyond the first that are allowed now.", "service"),
		peers:       desc("entry_vms", "Other entry VMs that are listed."),
		age:         desc("store_copy_age_seconds", "Time since the read that a copy of the store reflects.", "copy"),
		confirmed: desc("keys_confirmed_age_seconds",
			"Time since the read that confirmed the keys of client accounts, where withdrawn ones are bounded."),
		version: desc("configuration_version", "Version of the configuration in force, 0 if none is."),
		routes:  desc("routes", "Routes that requests came for, by whether any was answered.", "state"),
		waiting: desc("requests_waiting", "Requests that wait at this VM for room at a server."),
		era:     desc("store_era", "Era of the store: how often it came back older; 0 also if it does not say."),
	}
}

// Describe implements prometheus.Collector.
func (s *stateCollector) Describe(to chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{s.servers, s.inFlight, s.utilization, s.budget, s.peers, s.age, s.confirmed, s.version, s.routes, s.waiting, s.era} {
		to <- d
	}
}

// Collect implements prometheus.Collector.
func (s *stateCollector) Collect(to chan<- prometheus.Metric) {
	now := time.Now()
	gauge := func(d *prometheus.Desc, value float64, labels ...string) {
		to <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
	}
	for name, state := range s.chooser.ServiceStates(now) {
		service := string(name)
		gauge(s.servers, float64(state.Usable-state.Cold), service, "warm")
		gauge(s.servers, float64(state.Cold), service, "cold")
		gauge(s.servers, float64(state.Leaving), service, "leaving")
		gauge(s.servers, float64(state.BackedOff), service, "backed-off")
		gauge(s.servers, float64(state.Ejected), service, "ejected")
		gauge(s.inFlight, float64(state.InFlight), service)
		gauge(s.utilization, state.Utilization, service)
		gauge(s.budget, state.RetryBudget, service)
	}
	routes := s.chooser.RouteCounts()
	gauge(s.routes, float64(routes.Served), "answered")
	gauge(s.routes, float64(routes.Unserved), "unanswered")
	gauge(s.waiting, float64(s.handler.Waiting()))
	gauge(s.peers, float64(len(s.presence.others())))
	servers, operator := s.follower.readTimes()
	for copied, readAt := range map[string]time.Time{"servers": servers, "operator": operator} {
		if !readAt.IsZero() {
			gauge(s.age, now.Sub(readAt).Seconds(), copied)
		}
	}
	if age, ok := s.follower.confirmation.age(); ok && s.follower.confirmation.isRequired() {
		gauge(s.confirmed, age.Seconds())
	}
	version := 0.0
	if t := s.follower.Table(); t != nil {
		version = float64(t.Version())
	}
	gauge(s.version, version)
	gauge(s.era, float64(s.follower.storeEra()))
}
