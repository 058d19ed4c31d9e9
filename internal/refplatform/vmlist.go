package refplatform

import (
	"context"
	"errors"
	"net/http"

	"github.com/azureflow/azureflow/internal/vm"
)

// cachedList is the VM list as it was last read completely.
type cachedList struct {
	etag string
	rows []vm.VM
}

// notModifiedError reports that the response still has the entity tag of the request.
type notModifiedError struct{}

// Error implements error.
func (*notModifiedError) Error() string { return "not modified" }

// VMs implements VMList. A list that has not changed since it was last read is not sent again if the
// platform gives entity tags; the rows returned are then the same as before. They must not be changed.
func (c *Client) VMs(ctx context.Context) ([]vm.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	cached := c.list.Load()
	r := request{method: http.MethodGet, url: c.options.VMListURL + PathVMs}
	if cached != nil {
		r.ifNoneMatch = cached.etag
	}
	var etag string
	r.onHeader = func(h http.Header) { etag = h.Get("ETag") }
	var response VMsResponse
	err := c.call(ctx, r, &response)
	var unchanged *notModifiedError
	if errors.As(err, &unchanged) {
		return cached.rows, nil
	}
	if err != nil {
		return nil, err
	}
	c.list.Store(&cachedList{etag: etag, rows: response.VMs})
	return response.VMs, nil
}
