package upstream_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/azureflow/azureflow/internal/standin"
	"github.com/azureflow/azureflow/internal/upstream"
	"github.com/azureflow/azureflow/internal/vm"
)

func TestHTTPSourceReadsTheEndpoints(t *testing.T) {
	server := standin.NewUpstream(standin.UpstreamOptions{Slots: 3})
	listener := httptest.NewServer(server.Handler())
	defer listener.Close()
	target := vm.VM{Name: "saldo-01", Address: strings.TrimPrefix(listener.URL, "http://")}
	source := &upstream.HTTPSource{}

	load, err := source.Load(t.Context(), target)
	if err != nil || load.Slots != 3 || load.Draining {
		t.Fatalf("load %+v, %v; want 3 slots and no drain", load, err)
	}
	if draining, err := source.Draining(t.Context(), target); err != nil || draining {
		t.Fatalf("draining %v, %v; want false", draining, err)
	}
	server.SetDraining(true)
	if draining, err := source.Draining(t.Context(), target); err != nil || !draining {
		t.Fatalf("draining %v, %v; want true", draining, err)
	}
}

func TestHTTPSourceReportsUnexpectedStatus(t *testing.T) {
	listener := httptest.NewServer(http.NotFoundHandler())
	defer listener.Close()
	source := &upstream.HTTPSource{}
	target := vm.VM{Name: "saldo-01", Address: strings.TrimPrefix(listener.URL, "http://")}
	var unexpected *upstream.EndpointError
	if _, err := source.Load(t.Context(), target); !errors.As(err, &unexpected) || unexpected.Status != http.StatusNotFound {
		t.Fatalf("error %v, want an EndpointError with status 404", err)
	}
}
