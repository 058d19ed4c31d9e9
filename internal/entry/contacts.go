package entry

import (
	"context"
	"sync"
	"time"

	"github.com/azureflow/azureflow/internal/request"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/upstream"
	"github.com/azureflow/azureflow/internal/vm"
)

// contactGap is the longest time between two answers of a zone's upstreams without a break in contact;
// they are polled once a second each.
const contactGap = 3 * time.Second

// contact is an unbroken sequence of answers.
type contact struct{ since, last time.Time }

// contacts notes which zones' upstreams answer this VM, from the polls of their endpoints. It is a
// upstream.Source, so that it sees all polls.
type contacts struct {
	source upstream.Source

	mu    sync.Mutex
	zones map[steering.ZoneName]contact
}

func newContacts(source upstream.Source) *contacts {
	return &contacts{source: source, zones: make(map[steering.ZoneName]contact)}
}

// Draining implements upstream.Source.
func (c *contacts) Draining(ctx context.Context, server vm.VM) (bool, error) {
	asked := time.Now()
	draining, err := c.source.Draining(ctx, server)
	if err == nil {
		c.note(server.Zone, asked)
	}
	return draining, err
}

// Load implements upstream.Source.
func (c *contacts) Load(ctx context.Context, server vm.VM) (request.UpstreamLoad, error) {
	return c.source.Load(ctx, server)
}

// note takes in an answer to a poll that was sent at asked.
func (c *contacts) note(zone steering.ZoneName, asked time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.zones[zone]
	if asked.Sub(k.last) > contactGap {
		k.since = asked
	}
	if asked.After(k.last) {
		k.last = asked
	}
	c.zones[zone] = k
}

// since returns since when a zone's upstreams have answered without a break, or the zero time.
func (c *contacts) since(zone steering.ZoneName) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.zones[zone]
	if time.Since(k.last) > contactGap {
		return time.Time{}
	}
	return k.since
}
