package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/azureflow/azureflow/internal/forward"
	"github.com/azureflow/azureflow/internal/gateway"
	"github.com/azureflow/azureflow/internal/steering"
)

// How callers query directories, as the ingress documentation of the platform specifies.
const (
	directoryTimeout = time.Second
	maxDirectories   = 3
)

// ResolveFunc queries the directory at an address, host:port, for the addresses that a caller of host connects to.
type ResolveFunc func(
	ctx context.Context, directory, host string, region steering.RegionName, zone steering.ZoneName,
) (gateway.LookupResult, error)

// Gateways describes how callers reach entry VMs on the users' platform. All fields but Region and Zone are required.
type Gateways struct {
	Directories []string // host:port, the nearest first
	Host        string   // host name of the requests
	Region      steering.RegionName
	Zone        steering.ZoneName
	Resolve     ResolveFunc
	Headers     forward.Headers // header names on the wire
}

// gatewayCaller sends requests to the entry VMs that a directory returns. It is safe for concurrent use.
type gatewayCaller struct {
	opts   *Options
	client *http.Client

	mu      sync.Mutex
	usable  []string  // addresses of the last directory response without a failure since
	expires time.Time // expiry of that response
}

func newGatewayCaller(o *Options) *gatewayCaller {
	return &gatewayCaller{opts: o, client: newClient()}
}

// send sends one request and reports whether it succeeded with a complete response. It does not retry, so that failures
// stay visible in the results.
func (c *gatewayCaller) send(ctx context.Context) bool {
	address, ok := c.address(ctx)
	if !ok {
		return false
	}
	req, err := c.request(ctx, address)
	if err != nil {
		return false
	}
	resp, err := c.client.Do(req)
	if err != nil {
		c.onAddressFailed(address)
		return false
	}
	return readComplete(resp.StatusCode, resp.Body)
}

// request builds a request with a unique ID and the time left until the deadline of ctx.
func (c *gatewayCaller) request(ctx context.Context, address string) (*http.Request, error) {
	req, err := c.opts.request(ctx, address)
	if err != nil {
		return nil, err
	}
	names := &c.opts.Gateways.Headers
	req.Host = c.opts.Gateways.Host
	req.Header.Set(names.RequestID, fmt.Sprintf("%016x", rand.Uint64()))
	if end, ok := ctx.Deadline(); ok {
		req.Header.Set(names.Deadline, strconv.FormatInt(time.Until(end).Milliseconds(), 10))
	}
	return req, nil
}

// address returns a random entry VM of the last directory response. An expired response is still used if no directory
// returns a new one.
func (c *gatewayCaller) address(ctx context.Context) (address string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.expires) || len(c.usable) == 0 {
		c.resolve(ctx)
	}
	if len(c.usable) == 0 {
		return "", false
	}
	return c.usable[rand.IntN(len(c.usable))], true
}

// resolve queries the directories in order until one responds.
func (c *gatewayCaller) resolve(ctx context.Context) {
	g := c.opts.Gateways
	for _, directory := range g.Directories[:min(maxDirectories, len(g.Directories))] {
		call, cancel := context.WithTimeout(ctx, directoryTimeout)
		found, err := g.Resolve(call, directory, g.Host, g.Region, g.Zone)
		cancel()
		if err == nil {
			c.usable, c.expires = slices.Clone(found.Addresses), time.Now().Add(found.TTL)
			return
		}
	}
}

// onAddressFailed excludes an entry VM until a directory is queried again.
func (c *gatewayCaller) onAddressFailed(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.usable = slices.DeleteFunc(c.usable, func(usable string) bool { return usable == address })
}
