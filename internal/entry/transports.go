package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/upstream"
)

const (
	idlePerHost = 4                // connections
	idleTimeout = 30 * time.Second // of a connection to the platform or a report endpoint
)

// platformTransport returns the transport of calls to the platform, or nil for the client's own.
func platformTransport(dial Dial) http.RoundTripper {
	if dial == nil {
		return nil
	}
	return &http.Transport{DialContext: dial, MaxIdleConnsPerHost: idlePerHost, IdleConnTimeout: idleTimeout}
}

// peerDialer returns the dialer towards peers, or nil for TCP.
func peerDialer(dial Dial) peer.Dialer {
	if dial == nil {
		return nil
	}
	return func(ctx context.Context, address string) (net.Conn, error) { return dial(ctx, "tcp", address) }
}

// reportSource reads the load and health endpoints of upstreams.
func reportSource(dial Dial) *upstream.HTTPSource {
	if dial == nil {
		return &upstream.HTTPSource{}
	}
	return &upstream.HTTPSource{Client: &http.Client{Transport: platformTransport(dial)}}
}
