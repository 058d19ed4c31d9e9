package gateway

import "time"

// The pace that fits the bounds of the deployments that azureflow was first run on. A deployment with narrower
// bounds is followed faster in proportion.
const (
	usualDrain  = 2500 * time.Millisecond // until a leaving server gets nothing
	usualConfig = 2500 * time.Millisecond // until a configuration or an evacuation is in force

	usualServerReads   = 800 * time.Millisecond  // a third of usualDrain, so that one read may fail
	usualServerWait    = 1200 * time.Millisecond // for a change; half of usualDrain
	usualShareInterval = 400 * time.Millisecond  // half of usualServerReads
	usualShareFresh    = 1400 * time.Millisecond // both intervals and a call that is slow
	usualOperatorWait  = 1400 * time.Millisecond // with the store's delays, within usualConfig
	usualConfigReads   = time.Second             // finds what a silent watch misses

	shortestPart = 0.25 // of the usual times; below it the store would be asked without a pause
)

// pace holds how often this entry VM looks for changes.
type pace struct {
	serverReads   time.Duration // between two reads of the servers' entries
	serverWait    time.Duration // of one watch of them
	shareInterval time.Duration // between two questions to a peer
	shareFresh    time.Duration // age up to which a peer's copy makes own reads needless
	cover         time.Duration // for which it does; one lost call does not make the VM read for itself
	operatorWait  time.Duration // of one watch of the operator's keys
	configReads   time.Duration // between two cheap reads of these
}

// newPace returns the pace that keeps b.
func newPace(b *Bounds) *pace {
	drain := partOf(b.Drain, usualDrain)
	config := min(partOf(b.ConfigApply, usualConfig), partOf(b.Evacuate, usualConfig))
	share := times(usualShareInterval, drain)
	return &pace{
		serverReads:   times(usualServerReads, drain),
		serverWait:    times(usualServerWait, drain),
		shareInterval: share,
		shareFresh:    times(usualShareFresh, drain),
		cover:         2 * share,
		operatorWait:  times(usualOperatorWait, config),
		configReads:   times(usualConfigReads, config),
	}
}

// partOf returns the part of the usual times, 1 at most, that a bound leaves. A bound of 0 is not given.
func partOf(bound, usual time.Duration) float64 {
	if bound <= 0 {
		return 1
	}
	return min(1, max(shortestPart, bound.Seconds()/usual.Seconds()))
}

func times(d time.Duration, part float64) time.Duration { return time.Duration(float64(d) * part) }
