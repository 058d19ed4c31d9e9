package request

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Defaults of TransportOptions.
const (
	defaultConnsPerServer  = 56
	defaultDialTimeout     = time.Second
	defaultIdleTimeout     = 60 * time.Second
	defaultFreshIdle       = time.Second
	defaultSilentAfter     = time.Second
	keepAliveProbes        = 2
	maxResponseHeaderBytes = 64 << 10
	newConnDivisor         = 8 // divisor of the connections: one in this many is for attempts that need a new one
)

// TransportOptions configure NewTransport.
type TransportOptions struct {
	ConnsPerServer int           // maximum number of connections to one server, in all pools
	DialTimeout    time.Duration // time limit to connect
	IdleTimeout    time.Duration // how long an idle connection is kept
	// FreshIdle is how long a connection may have been idle to carry a non-idempotent request: a connection idle for
	// longer could be unresponsive, which would leave the outcome unknown.
	FreshIdle   time.Duration
	SilentAfter time.Duration // a connection with sent bytes unacknowledged for this long is closed
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
		o.Dial = NewDialer(o.DialTimeout, o.SilentAfter).DialContext
	}
}

// NewDialer returns a TCP dialer. A connection whose bytes stay unacknowledged for silentAfter is closed; the kernel
// probes it while it waits for a response.
func NewDialer(timeout, silentAfter time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive(silentAfter), Control: ackTimeout(silentAfter)}
}

// NewAddressDialer returns a dialer for TCP addresses, whose connections are closed in the same cases as those of
// NewDialer. Its calls end with their context.
func NewAddressDialer(silentAfter time.Duration) func(ctx context.Context, address string) (net.Conn, error) {
	dialer := NewDialer(defaultDialTimeout, silentAfter)
	return func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}
}

func keepAlive(silentAfter time.Duration) net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable:   true,
		Idle:     silentAfter,
		Interval: silentAfter / keepAliveProbes,
		Count:    keepAliveProbes,
	}
}

// ListenConfig returns the configuration with which an entry VM listens for callers. A connection whose bytes stay
// unacknowledged for silentAfter is closed, so that a caller that vanished holds no resources.
func ListenConfig(silentAfter time.Duration) *net.ListenConfig {
	if silentAfter <= 0 {
		silentAfter = defaultSilentAfter
	}
	return &net.ListenConfig{Control: ackTimeout(silentAfter), KeepAliveConfig: keepAlive(silentAfter)}
}

// Transport sends attempts to servers over HTTP/1.1, one attempt at a time on a connection, so that the bytes of an
// attempt can be counted and an unresponsive connection detected.
type Transport struct {
	pools [poolCount]*http.Transport
}

// pool identifies the connections that an attempt may be sent on.
type pool uint8

const (
	poolShared pool = iota // any open connection
	poolFresh              // a recently used one, for non-idempotent requests
	poolNew                // a new one, after open ones were unresponsive
	poolCount
)

// connRequirement is the requirement of an attempt on its connection.
type connRequirement struct {
	pool      pool
	dialLimit time.Duration // time limit to connect; 0 for that of the transport
}

// connRequirementKey is the context key of a connRequirement.
type connRequirementKey struct{}

func withConnRequirement(ctx context.Context, n connRequirement) context.Context {
	return context.WithValue(ctx, connRequirementKey{}, n)
}

func connRequirementOf(ctx context.Context) connRequirement {
	n, _ := ctx.Value(connRequirementKey{}).(connRequirement)
	return n
}

// NewTransport returns a Transport.
func NewTransport(opts TransportOptions) *Transport {
	opts.setDefaults()
	newConns := max(1, opts.ConnsPerServer/newConnDivisor)
	share := max(1, (opts.ConnsPerServer-newConns)/2)
	t := &Transport{}
	t.pools[poolShared] = newPool(&opts, share, opts.IdleTimeout)
	t.pools[poolFresh] = newPool(&opts, share, min(opts.FreshIdle, opts.IdleTimeout))
	t.pools[poolNew] = newPool(&opts, newConns, opts.IdleTimeout)
	t.pools[poolNew].DisableKeepAlives = true
	return t
}

func newPool(opts *TransportOptions, conns int, idle time.Duration) *http.Transport {
	dial := opts.Dial
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			limit := opts.DialTimeout
			if need := connRequirementOf(ctx).dialLimit; need > 0 {
				limit = min(limit, need)
			}
			ctx, cancel := context.WithTimeout(ctx, limit)
			defer cancel()
			c, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return newSealableConn(c), nil
		},
		Protocols:              protocols,
		DisableCompression:     true,
		MaxConnsPerHost:        conns,
		MaxIdleConnsPerHost:    conns,
		IdleConnTimeout:        idle,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	return t.pools[connRequirementOf(r.Context()).pool].RoundTrip(r)
}

// CloseIdleConnections closes the idle connections of all pools.
func (t *Transport) CloseIdleConnections() {
	for _, p := range t.pools {
		p.CloseIdleConnections()
	}
}
