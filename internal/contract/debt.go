package contract

import (
	"time"

	"github.com/azureflow/azureflow/internal/peer"
)

// debt is what a VM wants and holds of a service in a zone that it does not lead.
type debt struct {
	key       Key
	need      need
	want      int64
	wantedAt  time.Time // last time that anything was wanted
	grant     uint64
	held      int64  // slots of grant
	above     uint64 // an earlier grant, while more slots are in use than grant gives
	lapse     time.Time
	renewed   time.Time // when grant was asked for
	askedAt   time.Time // when the last call ended
	pending   *peer.AskGrantRequest
	pendingAt time.Time // when pending was first sent
	calling   bool
}

// observe reads the demand. Slots that are this VM's own are not borrowed.
func (d *debt) observe(a *account, now time.Time) {
	wanted := d.need.read(a) - a.rights.Load().floor.slots
	d.want = max(0, wanted)
	if d.want > 0 {
		d.wantedAt = now
	}
	if !now.Before(d.lapse) {
		d.held, d.grant, d.above = 0, 0, 0
	}
}

// note keeps the grant that is about to be replaced in mind, in case that more slots are in use
// than the next one gives.
func (d *debt) note() {
	if d.above == 0 {
		d.above = d.grant
	}
}

// stated returns the grant to name in a request: the grantor keeps the slots of a grant reserved
// while its holder names it. That is the last one, but an earlier one while requests that were
// begun under it are still under way.
func (d *debt) stated(a *account) uint64 {
	if d.above != 0 && a.inUse.Load() > a.rights.Load().floor.slots+d.held {
		return d.above
	}
	d.above = 0
	return d.grant
}

// life returns for how long the grant was given. A leader whose own lease is about to end gives short grants.
func (d *debt) life() time.Duration { return d.lapse.Sub(d.renewed) }

// idle says whether the grant should be handed back.
func (d *debt) idle(now time.Time, after time.Duration) bool {
	return d.grant != 0 && d.want == 0 && now.Sub(d.wantedAt) >= after
}

// due says whether it is time to ask: for more at most once an interval, else to renew.
func (d *debt) due(now time.Time, renewAfter, interval time.Duration) bool {
	if now.Sub(d.askedAt) < interval/2 {
		return false
	}
	if d.pending != nil {
		return true
	}
	if d.grant == 0 {
		return d.want > 0
	}
	age := now.Sub(d.renewed)
	return age >= min(renewAfter, d.life()/2) || (d.want > d.held && age >= interval)
}
