package gateway

import "time"

// Default bounds, which are those of the first deployments, and the intervals that keep them. For a deployment with
// narrower bounds the intervals are shortened in proportion.
const (
	defaultDrain  = 2500 * time.Millisecond // until a leaving server gets no requests
	defaultConfig = 2500 * time.Millisecond // until a configuration or an evacuation is in force

	defaultServerReadInterval = 800 * time.Millisecond  // a third of defaultDrain, so that one read may fail
	defaultServerWait         = 1200 * time.Millisecond // for a change; half of defaultDrain
	defaultShareInterval      = 400 * time.Millisecond  // half of defaultServerReadInterval
	defaultShareMaxAge        = 1400 * time.Millisecond // one read interval, one share interval and a slow call
	defaultOperatorWait       = 1400 * time.Millisecond // with the store's delays, within defaultConfig
	defaultConfigReadInterval = time.Second             // finds changes that a stalled watch misses

	defaultOperatorMaxAge = 2 * time.Second // one watch, one share interval and a slow call

	listMaxAge = 3 * time.Second // of the list of entry VMs, which the reader reads each presenceReadInterval

	// Where withdrawn keys are bounded, the operator's keys are read this often within the bound. A peer's confirmation
	// replaces own reads up to a part of the bound: one read of the reader may time out and be repeated within it, and
	// what is left suffices for an own read, which begins within peerCopyValidity.
	confirmationReads  = 5
	confirmationMaxAge = 0.5

	minConfirmationInterval = 200 * time.Millisecond // so that the store is not called without a pause

	minScale = 0.25 // of the default intervals; below it the store would be called without a pause
)

// intervals holds how often this entry VM checks for changes.
type intervals struct {
	serverReadInterval time.Duration // between two reads of the servers' entries
	serverWait         time.Duration // time limit of one watch of them
	shareInterval      time.Duration // between two requests to a peer
	shareMaxAge        time.Duration // age up to which a peer's copy replaces own reads
	peerCopyValidity   time.Duration // for which it does; one lost call does not make the VM read for itself
	operatorWait       time.Duration // time limit of one watch of the operator's keys
	configReadInterval time.Duration // between two stale reads of these
	operatorMaxAge     time.Duration // age up to which a peer's copy of these replaces own reads
	confirmationMaxAge time.Duration // age up to which a peer's confirmation of these does; 0: none is needed
}

// newIntervals returns the intervals that keep b.
func newIntervals(b *Bounds) *intervals {
	drain := scaleOf(b.Drain, defaultDrain)
	config := min(scaleOf(b.ConfigApply, defaultConfig), scaleOf(b.Evacuate, defaultConfig))
	share := scaled(defaultShareInterval, drain)
	i := &intervals{
		serverReadInterval: scaled(defaultServerReadInterval, drain),
		serverWait:         scaled(defaultServerWait, drain),
		shareInterval:      share,
		shareMaxAge:        scaled(defaultShareMaxAge, drain),
		peerCopyValidity:   2 * share,
		operatorWait:       scaled(defaultOperatorWait, config),
		configReadInterval: scaled(defaultConfigReadInterval, config),
		operatorMaxAge:     scaled(defaultOperatorMaxAge, config),
		confirmationMaxAge: scaled(b.Revoke, confirmationMaxAge),
	}
	if b.Revoke > 0 {
		i.configReadInterval = max(minConfirmationInterval, min(i.configReadInterval, b.Revoke/confirmationReads))
	}
	return i
}

// scaleOf returns the factor, at most 1, by which a bound scales the default intervals. A bound of 0 is not set.
func scaleOf(bound, reference time.Duration) float64 {
	if bound <= 0 {
		return 1
	}
	return min(1, max(minScale, bound.Seconds()/reference.Seconds()))
}

func scaled(d time.Duration, scale float64) time.Duration { return time.Duration(float64(d) * scale) }
