// Package clock provides waits that a context can cancel.
package clock

import (
	"context"
	"time"
)

// Sleep waits for d, or until ctx ends, whose error it then returns. A d of 0 or less does not wait.
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
