// Package quota decides how the rates of client accounts hold over all entry VMs without a store call. The rate of an
// account is divided into shards; each has a home VM, whose token bucket is the only one of the shard. The VMs that serve
// requests ask homes for tokens, which expire soon. Nothing here does I/O; time is an argument.
package quota

import "time"

// HasPassed reports whether now is at or past t on the monotonic or on the wall clock: a suspended VM's monotonic clock
// may stand still, and a wall clock may be set back.
func HasPassed(t, now time.Time) bool {
	return !now.Before(t) || !now.Round(0).Before(t.Round(0))
}
