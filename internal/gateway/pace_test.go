package gateway

import (
	"testing"
	"time"
)

func TestPaceFollowsTheBounds(t *testing.T) {
	defaults := newIntervals(&Bounds{})
	for _, test := range []struct {
		name   string
		bounds Bounds
		reads  time.Duration
		wait   time.Duration // time limit of a watch of the operator's keys
	}{
		{"none given", Bounds{}, defaultServerReadInterval, defaultOperatorWait},
		{"usual", Bounds{Drain: defaultDrain, ConfigApply: defaultConfig}, defaultServerReadInterval, defaultOperatorWait},
		{"wider", Bounds{Drain: 4 * time.Second, ConfigApply: 4 * time.Second}, defaultServerReadInterval, defaultOperatorWait},
		{"half", Bounds{Drain: defaultDrain / 2, ConfigApply: defaultConfig / 2}, defaultServerReadInterval / 2, defaultOperatorWait / 2},
		{"evacuations sooner than configurations", Bounds{ConfigApply: defaultConfig, Evacuate: defaultConfig / 2}, defaultServerReadInterval, defaultOperatorWait / 2},
		{"next to nothing", Bounds{Drain: time.Millisecond, ConfigApply: time.Millisecond}, defaultServerReadInterval / 4, defaultOperatorWait / 4},
	} {
		p := newIntervals(&test.bounds)
		if p.serverReadInterval != test.reads || p.operatorWait != test.wait {
			t.Errorf("%s: read interval %v and wait %v, want %v and %v", test.name, p.serverReadInterval, p.operatorWait, test.reads, test.wait)
		}
		if p.peerCopyValidity > defaults.peerCopyValidity || p.shareMaxAge > defaults.shareMaxAge {
			t.Errorf("%s: longer than the defaults: %+v", test.name, p)
		}
	}
}
