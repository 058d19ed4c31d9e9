package request

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Defaults of TransportOptions.
const (
	defaultConnsPerServer = 56
	defaultDialTimeout    = time.Second
	defaultIdleTimeout    = 60 * time.Second
	defaultFreshIdle      = time.Second
	defaultSilentAfter    = time.Second
	keepAliveProbes       = 2
	maxAnswerHeaderBytes  = 64 << 10
)

// TransportOptions configure NewTransport.
type TransportOptions struct {
	ConnsPerServer int           // connections to one server, over both pools
	DialTimeout    time.Duration // to connect
	IdleTimeout    time.Duration // an idle connection is kept this long
	// FreshIdle is how long an idle connection may carry non-idempotent work: an older one could
	// have gone silent, which would leave the outcome unknown.
	FreshIdle   time.Duration
	SilentAfter time.Duration // sent bytes without acknowledgement for this long break a connection
	// Dial opens a connection; by default over TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

func (o *TransportOptions) setDefaults() {
	if o.ConnsPerServer <= 0 {
		o.ConnsPerServer = defaultConnsPerServer
	}
	if o.DialTimeout <= 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	if o.FreshIdle <= 0 {
		o.FreshIdle = defaultFreshIdle
	}
	if o.SilentAfter <= 0 {
		o.SilentAfter = defaultSilentAfter
	}
	if o.Dial == nil {
		o.Dial = newDialer(o).DialContext
	}
}

// newDialer returns a TCP dialer whose connections the kernel probes while they wait for an answer.
func newDialer(o *TransportOptions) *net.Dialer {
	return &net.Dialer{
		Timeout: o.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     o.SilentAfter,
			Interval: o.SilentAfter / keepAliveProbes,
			Count:    keepAliveProbes,
		},
		Control: ackTimeout(o.SilentAfter),
	}
}

// Transport carries attempts to servers over HTTP/1.1: one attempt at a time on a connection, so that
// the bytes of an attempt can be counted and its silence judged. It has two pools: one for idempotent
// work, one that only reuses connections heard of lately.
type Transport struct {
	shared *http.Transport
	fresh  *http.Transport
}

// NewTransport returns a Transport.
func NewTransport(opts TransportOptions) *Transport {
	opts.setDefaults()
	share := max(1, opts.ConnsPerServer/2)
	return &Transport{
		shared: newPool(&opts, share, opts.IdleTimeout),
		fresh:  newPool(&opts, share, min(opts.FreshIdle, opts.IdleTimeout)),
	}
}

func newPool(opts *TransportOptions, conns int, idle time.Duration) *http.Transport {
	dial := opts.Dial
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return newGatedConn(c), nil
		},
		Protocols:              protocols,
		DisableCompression:     true,
		MaxConnsPerHost:        conns,
		MaxIdleConnsPerHost:    conns,
		IdleConnTimeout:        idle,
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
	}
}

// freshKey marks the context of a request that only a fresh connection may carry.
type freshKey struct{}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Context().Value(freshKey{}) != nil {
		return t.fresh.RoundTrip(r)
	}
	return t.shared.RoundTrip(r)
}

// CloseIdleConnections closes the idle connections of both pools.
func (t *Transport) CloseIdleConnections() {
	t.shared.CloseIdleConnections()
	t.fresh.CloseIdleConnections()
}
