package gateway

import (
	"testing"
	"time"
)

func TestPaceFollowsTheBounds(t *testing.T) {
	usual := newPace(&Bounds{})
	for _, test := range []struct {
		name   string
		bounds Bounds
		reads  time.Duration
		wait   time.Duration // of a watch of the operator's keys
	}{
		{"none given", Bounds{}, usualServerReads, usualOperatorWait},
		{"usual", Bounds{Drain: usualDrain, ConfigApply: usualConfig}, usualServerReads, usualOperatorWait},
		{"wider", Bounds{Drain: 4 * time.Second, ConfigApply: 4 * time.Second}, usualServerReads, usualOperatorWait},
		{"half", Bounds{Drain: usualDrain / 2, ConfigApply: usualConfig / 2}, usualServerReads / 2, usualOperatorWait / 2},
		{"evacuations sooner than configurations", Bounds{ConfigApply: usualConfig, Evacuate: usualConfig / 2}, usualServerReads, usualOperatorWait / 2},
		{"next to nothing", Bounds{Drain: time.Millisecond, ConfigApply: time.Millisecond}, usualServerReads / 4, usualOperatorWait / 4},
	} {
		p := newPace(&test.bounds)
		if p.serverReads != test.reads || p.operatorWait != test.wait {
			t.Errorf("%s: reads each %v, waits %v, want %v and %v", test.name, p.serverReads, p.operatorWait, test.reads, test.wait)
		}
		if p.cover > usual.cover || p.shareFresh > usual.shareFresh {
			t.Errorf("%s: slower than usual: %+v", test.name, p)
		}
	}
}
