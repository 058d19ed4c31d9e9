package refplatform

import (
	"context"
	"errors"
	"net/http"

	"github.com/azureflow/azureflow/internal/vm"
)

// readList is the VM list as it was last read whole.
type readList struct {
	etag string
	rows []vm.VM
}

// notModifiedError reports that the answer is still the one that the request's entity tag names.
type notModifiedError struct{}

// Error implements error.
func (*notModifiedError) Error() string { return "not modified" }

// VMs implements VMList. A list that has not changed since it was last read is not sent again if the
// platform gives entity tags; the rows returned are then the same as before. They must not be changed.
func (c *Client) VMs(ctx context.Context) ([]vm.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	held := c.list.Load()
	r := request{method: http.MethodGet, url: c.options.VMListURL + PathVMs}
	if held != nil {
		r.ifNoneMatch = held.etag
	}
	var etag string
	r.onHeader = func(h http.Header) { etag = h.Get("ETag") }
	var answer VMsResponse
	err := c.call(ctx, r, &answer)
	var unchanged *notModifiedError
	if errors.As(err, &unchanged) {
		return held.rows, nil
	}
	if err != nil {
		return nil, err
	}
	c.list.Store(&readList{etag: etag, rows: answer.VMs})
	return answer.VMs, nil
}
