package demo

import (
	"time"

	"github.com/azureflow/azureflow/internal/standin"
)

// matrixFault is what breaks. heal, if there is one, mends it.
type matrixFault struct {
	name  string
	begin func(c *cell, t *transfer)
	heal  func(c *cell)
	// cutsAnswers is set if the fault itself ends answers in the middle, which entry VMs pass on as such.
	cutsAnswers bool
}

var matrixFaults = []matrixFault{
	{name: "sender killed", begin: func(c *cell, t *transfer) { c.kill(t.from.host) }},
	{name: "receiver killed", begin: func(c *cell, t *transfer) { c.kill(t.to.host) }},
	{name: "connection reset", begin: func(c *cell, t *transfer) { t.conn.breakOff() }},
	{name: "connection silent", begin: func(c *cell, t *transfer) { t.conn.muted.Store(true) }},
	{name: "all connections silent", begin: func(c *cell, t *transfer) { c.world.network.silence() }},
	{name: "sender paused", begin: func(c *cell, t *transfer) { c.pause(t.from) }, heal: func(c *cell) { c.resume() }},
	{name: "receiver paused", begin: func(c *cell, t *transfer) { c.pause(t.to) }, heal: func(c *cell) { c.resume() }},
	{name: "store down", begin: platformFault(standin.PlatformFaults{Down: true, VMListDown: true}), heal: platformHeal},
	{name: "store slow", begin: platformFault(standin.PlatformFaults{DelayMs: 1500}), heal: platformHeal},
	{name: "store loses answers", begin: platformFault(standin.PlatformFaults{LoseAnswers: 20}), heal: platformHeal},
	{name: "store silent", begin: platformFault(standin.PlatformFaults{WatchSilent: true}), heal: platformHeal},
	{name: "store stale", begin: platformFault(standin.PlatformFaults{Stale: staleSnapshot}), heal: platformHeal},
	{name: "VM list stale", begin: func(c *cell, t *transfer) { c.world.platform.SetVMListLag(time.Minute) },
		heal: func(c *cell) { c.world.platform.SetVMListLag(time.Second) }},
	{name: "zone cut off", begin: func(c *cell, t *transfer) { c.cut(t, cut{sends: true, receives: true}) }, heal: func(c *cell) { c.mend() }},
	{name: "zone sends in vain", begin: func(c *cell, t *transfer) { c.cut(t, cut{sends: true}) }, heal: func(c *cell) { c.mend() }},
	{name: "zone hears nothing", begin: func(c *cell, t *transfer) { c.cut(t, cut{receives: true}) }, heal: func(c *cell) { c.mend() }},
	{name: "region lost", begin: func(c *cell, t *transfer) { loseRegion(c.world) }},
	{name: "upstream answers crossed", begin: func(c *cell, t *transfer) { c.eachUpstream(standin.UpstreamFaults{Crossed: true, Share: 0.5}) },
		heal: func(c *cell) { c.eachUpstream(standin.UpstreamFaults{}) }},
	{name: "upstream answers cut off", begin: func(c *cell, t *transfer) { c.eachUpstream(standin.UpstreamFaults{CutOff: true, Share: 0.5}) },
		cutsAnswers: true, heal: func(c *cell) { c.eachUpstream(standin.UpstreamFaults{}) }},
	{name: "upstream answers late", begin: func(c *cell, t *transfer) { c.eachUpstream(standin.UpstreamFaults{LateMs: 1500, Share: 0.5}) },
		heal: func(c *cell) { c.eachUpstream(standin.UpstreamFaults{}) }},
	{name: "upstreams slow", begin: func(c *cell, t *transfer) { c.world.slow(20) }, heal: func(c *cell) { c.world.slow(0) }},
	{name: "health misleads", begin: func(c *cell, t *transfer) { c.eachUpstream(standin.UpstreamFaults{Health: "ok"}) },
		heal: func(c *cell) { c.eachUpstream(standin.UpstreamFaults{}) }},
	{name: "load reports mislead", begin: func(c *cell, t *transfer) { c.eachUpstream(standin.UpstreamFaults{ReportInFlight: new(int)}) },
		heal: func(c *cell) { c.eachUpstream(standin.UpstreamFaults{}) }},
	{name: "second publisher", begin: func(c *cell, t *transfer) { c.publishSoon() }},
	{name: "store down and zone cut off", begin: func(c *cell, t *transfer) {
		platformFault(standin.PlatformFaults{Down: true, VMListDown: true})(c, t)
		c.cut(t, cut{sends: true, receives: true})
	}, heal: func(c *cell) { platformHeal(c); c.mend() }},
	{name: "sender and receiver killed", begin: func(c *cell, t *transfer) { c.kill(t.from.host); c.kill(t.to.host) }},
	{name: "store down and region lost", begin: func(c *cell, t *transfer) {
		platformFault(standin.PlatformFaults{Down: true, VMListDown: true})(c, t)
		loseRegion(c.world)
	}, heal: platformHeal},
	{name: "store down and receiver killed", begin: func(c *cell, t *transfer) {
		platformFault(standin.PlatformFaults{Down: true, VMListDown: true})(c, t)
		c.kill(t.to.host)
	}, heal: platformHeal},
	{name: "zone cut off and all connections silent", begin: func(c *cell, t *transfer) {
		c.cut(t, cut{sends: true, receives: true})
		c.world.network.silence()
	}, heal: func(c *cell) { c.mend() }},
	{name: "zone cut off twice", begin: func(c *cell, t *transfer) {
		twice(func() { c.cut(t, cut{sends: true, receives: true}) }, c.mend)
	}, heal: func(c *cell) { c.mend() }},
	{name: "store down twice", begin: func(c *cell, t *transfer) {
		twice(func() { platformFault(standin.PlatformFaults{Down: true, VMListDown: true})(c, t) }, func() { platformHeal(c) })
	}, heal: platformHeal},
	{name: "receiver paused twice", begin: func(c *cell, t *transfer) {
		twice(func() { c.pause(t.to) }, c.resume)
	}, heal: func(c *cell) { c.resume() }},
	{name: "connections silent twice", begin: func(c *cell, t *transfer) {
		c.world.network.silence()
		time.AfterFunc(time.Second, c.world.network.silence)
	}},
}

func platformFault(f standin.PlatformFaults) func(c *cell, t *transfer) {
	return func(c *cell, _ *transfer) { c.world.platform.SetFaults("", f) }
}

func platformHeal(c *cell) { c.world.platform.SetFaults("", standin.PlatformFaults{}) }

// twice breaks something, mends it and breaks it again, until the fault's own end.
func twice(begin, mend func()) {
	const whole = matrixBroken / 5 // that it works between
	begin()
	time.AfterFunc(2*whole, mend)
	time.AfterFunc(3*whole, begin)
}
