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

// How callers ask a directory, by the platform's page on ingress.
const (
	directoryTimeout = time.Second
	directoriesAsked = 3
)

// ResolveFunc asks the directory at an address, host:port, where a caller of host should connect.
type ResolveFunc func(
	ctx context.Context, directory, host string, region steering.RegionName, zone steering.ZoneName,
) (gateway.LookupResult, error)

// Gateways are entry VMs on the users' platform as a caller reaches them. All fields but Region and Zone are required.
type Gateways struct {
	Directories []string // host:port, the nearest first
	Host        string   // that requests name
	Region      steering.RegionName
	Zone        steering.ZoneName
	Resolve     ResolveFunc
	Headers     forward.Headers // names on the wire
}

// gatewayCaller sends requests to entry VMs that a directory names. It is safe for concurrent use.
type gatewayCaller struct {
	opts   *Options
	client *http.Client

	mu      sync.Mutex
	usable  []string  // addresses of the last answer that have not failed since
	expires time.Time // of that answer
}

func newGatewayCaller(o *Options) *gatewayCaller {
	return &gatewayCaller{opts: o, client: newClient()}
}

// send sends one request and reports whether the whole answer came. It does not send again, so that failures show.
func (c *gatewayCaller) send(ctx context.Context) bool {
	address, ok := c.address(ctx)
	if !ok {
		return false
	}
	req, err := c.request(ctx, address)
	if err != nil {
		return false
	}
	answer, err := c.client.Do(req)
	if err != nil {
		c.noteFailed(address)
		return false
	}
	return whole(answer.StatusCode, answer.Body)
}

// request builds a request with an id of its own and the time that is left until ctx ends.
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

// address returns one of the entry VMs of the directory's last answer at random. An answer that expired is still used if
// no directory gives a new one.
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

// resolve asks the directories in their order until one answers.
func (c *gatewayCaller) resolve(ctx context.Context) {
	g := c.opts.Gateways
	for _, directory := range g.Directories[:min(directoriesAsked, len(g.Directories))] {
		call, cancel := context.WithTimeout(ctx, directoryTimeout)
		found, err := g.Resolve(call, directory, g.Host, g.Region, g.Zone)
		cancel()
		if err == nil {
			c.usable, c.expires = slices.Clone(found.Addresses), time.Now().Add(found.TTL)
			return
		}
	}
}

// noteFailed leaves an entry VM out until the directory is asked again.
func (c *gatewayCaller) noteFailed(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.usable = slices.DeleteFunc(c.usable, func(usable string) bool { return usable == address })
}
