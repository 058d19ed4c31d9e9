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
		t.Fatalf("load %+v, %v", load, err)
	}
	if draining, err := source.Draining(t.Context(), target); err != nil || draining {
		t.Fatalf("draining %v, %v", draining, err)
	}
	server.SetDraining(true)
	if draining, err := source.Draining(t.Context(), target); err != nil || !draining {
		t.Fatalf("draining %v, %v", draining, err)
	}
}

func TestHTTPSourceNamesABrokenEndpoint(t *testing.T) {
	listener := httptest.NewServer(http.NotFoundHandler())
	defer listener.Close()
	source := &upstream.HTTPSource{}
	target := vm.VM{Name: "saldo-01", Address: strings.TrimPrefix(listener.URL, "http://")}
	var broken *upstream.EndpointError
	if _, err := source.Load(t.Context(), target); !errors.As(err, &broken) || broken.Status != http.StatusNotFound {
		t.Fatalf("error %v", err)
	}
}
