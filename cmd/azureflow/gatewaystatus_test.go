package main

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
)

// gatewayMetrics are those of an entry VM of a Zollbrugg deployment, shortened.
const gatewayMetrics = `# HELP azureflow_gateway_configuration_version Version of the configuration in force, 0 if none is.
# TYPE azureflow_gateway_configuration_version gauge
azureflow_gateway_configuration_version 6
# TYPE azureflow_gateway_entry_vms gauge
azureflow_gateway_entry_vms 6
# TYPE azureflow_gateway_store_copy_age_seconds gauge
azureflow_gateway_store_copy_age_seconds{copy="servers"} 0.25
# TYPE azureflow_gateway_routes gauge
azureflow_gateway_routes{state="answered"} 8
azureflow_gateway_routes{state="unanswered"} 1
# TYPE azureflow_gateway_servers gauge
azureflow_gateway_servers{service="saldo",state="warm"} 11
azureflow_gateway_servers{service="saldo",state="ejected"} 1
# TYPE azureflow_gateway_requests_in_flight gauge
azureflow_gateway_requests_in_flight{service="saldo"} 3
# TYPE azureflow_gateway_slots_taken_ratio gauge
azureflow_gateway_slots_taken_ratio{service="saldo"} 0.5
# TYPE azureflow_gateway_retry_budget_sendings gauge
azureflow_gateway_retry_budget_sendings{service="saldo"} 6.4
# TYPE azureflow_gateway_requests_total counter
azureflow_gateway_requests_total{kind="safe",outcome="answered",service="saldo"} 90
azureflow_gateway_requests_total{kind="safe",outcome="no-room",service="saldo"} 10
`

// serveMetrics returns the address of a metrics page.
func serveMetrics(t *testing.T, page string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(page)) }))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestGatewayStatusIsReadFromMetrics(t *testing.T) {
	address := serveMetrics(t, gatewayMetrics)
	got, err := readGateway(t.Context(), address)
	if err != nil {
		t.Fatal(err)
	}
	want := &gatewayStatus{
		Address: address, Version: 6, EntryVMs: 6, Ages: gatewayAges{ServersMs: 250, OperatorMs: -1},
		Routes: gatewayRoutes{Answered: 8, Unanswered: 1},
		Services: map[string]gatewayBelief{
			"saldo": {Warm: 11, Ejected: 1, InFlight: 3, SlotsTaken: 0.5, RetryBudget: 6.4, Requests: 100, Answered: 90},
		},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestMetricsOfAnotherProgramAreRefused(t *testing.T) {
	for name, page := range map[string]string{"other metrics": "up 1\n", "no metrics": "<html>", "nothing": ""} {
		var wrong *metricsError
		if _, err := readGateway(t.Context(), serveMetrics(t, page)); !errors.As(err, &wrong) {
			t.Errorf("%s: %v, want a metricsError", name, err)
		}
	}
}

func TestGatewayThatIsDownIsUnreachable(t *testing.T) {
	server := httptest.NewServer(nil)
	server.Close()
	_, err := readGateway(t.Context(), strings.TrimPrefix(server.URL, "http://"))
	if exitCode(err) != exitUnreachable {
		t.Errorf("exit code %d for %v, want %d", exitCode(err), err, exitUnreachable)
	}
}
