//go:build !linux

package clock

import "time"

// SinceBoot is not available on this system.
func SinceBoot() (since time.Duration, ok bool) { return 0, false }
