package steering

import (
	"encoding/json"
	"io"
	"net"
	"net/url"
	"slices"
	"strings"
	"time"
)

var (
	logLevels = []string{"debug", "info", "warning", "error"}
	exporters = []string{"none", "stdout", "otlp"}
)

// LoadSettings reads a settings file; keys that it omits have their defaults. Errors: *FaultsError with every fault.
func LoadSettings(path string) (*Settings, error) {
	text, err := readFile(path)
	if err != nil {
		fault := Fault{Position: Position{path, 1, 1}, Found: err.Error(), Allowed: "a file that can be read"}
		return nil, &FaultsError{Faults: []Fault{fault}}
	}
	return parseSettings(path, text)
}

func parseSettings(path string, text []byte) (*Settings, error) {
	report := &Report{}
	settings := DefaultSettings()
	if s := bindFile(path, text, settings, report); s != nil {
		checkSettings(settings, &checker{s, report})
	}
	report.sort()
	if err := report.Err(); err != nil {
		return nil, err
	}
	return settings, nil
}

// Text returns the settings in force as a settings file, without the token.
func (s *Settings) Text() string {
	shown := *s
	if shown.Admin.Token != "" {
		shown.Admin.Token = "(set)"
	}
	text, err := json.MarshalIndent(&shown, "", "  ")
	if err != nil {
		return ""
	}
	return string(text) + "\n"
}

func checkSettings(s *Settings, c *checker) {
	c.name("deployment", s.Deployment)
	c.name("vm.name", s.VM.Name)
	c.name("vm.region", string(s.VM.Region))
	c.name("vm.zone", string(s.VM.Zone))
	c.address("listen.requests", s.Listen.Requests)
	c.address("listen.peer", s.Listen.Peer)
	c.address("listen.admin", s.Listen.Admin)
	c.url("platform.store", s.Platform.Store)
	c.url("platform.vm_list", s.Platform.VMList)
	c.oneOf("telemetry.log_level", s.Telemetry.LogLevel, logLevels)
	c.oneOf("telemetry.traces", s.Telemetry.Traces, exporters)
	if s.Telemetry.Traces == "otlp" || s.Telemetry.OTLPEndpoint != "" {
		c.url("telemetry.otlp_endpoint", s.Telemetry.OTLPEndpoint)
	}
	c.number("telemetry.sample_share", s.Telemetry.SampleShare, 0, 1)
	checkLimits(&s.Limits, c)
}

func checkLimits(l *LimitSettings, c *checker) {
	c.number("limits.queue_per_service", float64(l.QueuePerService), 0, 1_000_000)
	c.number("limits.in_flight_per_caller", float64(l.InFlightPerCaller), 1, 1_000_000)
	c.number("limits.conns_per_server", float64(l.ConnsPerServer), 1, 10_000)
	c.number("limits.records_in_memory", float64(l.RecordsInMemory), 1, 10_000_000)
	c.number("limits.store_calls_per_min", float64(l.StoreCallsPerMin), 1, 100_000)
	c.duration("limits.drain_timeout", l.DrainTimeout, time.Second, time.Hour)
	c.duration("limits.silent_after", l.SilentAfter, 10*time.Millisecond, time.Minute)
	c.duration("limits.remote_contract_ttl", l.RemoteContractTTL, 100*time.Millisecond, time.Minute)
	c.duration("limits.poll_vm_list", l.PollVMList, 10*time.Millisecond, time.Minute)
	c.duration("limits.poll_upstream_report", l.PollUpstreamReport, 10*time.Millisecond, time.Minute)
}

// address checks host:port with the host as an IP number.
func (c *checker) address(path, address string) {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		c.fault(path, quote(address), `an address such as "10.0.0.1:8080"`)
	}
}

func (c *checker) url(path, text string) {
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		c.fault(path, quote(text), `a URL such as "http://10.0.0.1:8090"`)
	}
}

func (c *checker) oneOf(path, word string, words []string) {
	if !slices.Contains(words, word) {
		c.fault(path, quote(word), "one of "+strings.Join(words, ", "))
	}
}

func readAtMost(r io.Reader, n int64) ([]byte, error) {
	return io.ReadAll(io.LimitReader(r, n))
}
