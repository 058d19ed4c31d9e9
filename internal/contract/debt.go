package contract

import (
	"time"

	"github.com/azureflow/azureflow/internal/peer"
)

// zoneDemand is the demand of a VM for a service in a zone that it does not lead, and the grant that it holds for it.
type zoneDemand struct {
	key           Key
	need          demandEstimate
	want          int64
	wantedAt      time.Time // last time that the demand was above 0
	grant         uint64
	granted       int64  // slots of grant
	drainingGrant uint64 // an earlier grant, while more slots are in use than grant gives
	expiry        time.Time
	renewedAt     time.Time // when grant was requested
	lastCallAt    time.Time // when the last call ended
	pending       *peer.AskGrantRequest
	pendingAt     time.Time // when the first attempt of pending was sent
	calling       bool
}

// observe reads the demand. Slots of this VM's own part of the floor need no grant.
func (d *zoneDemand) observe(a *slotState, now time.Time) {
	wanted := d.need.update(a) - a.allowances.Load().floor.slots
	d.want = max(0, wanted)
	if d.want > 0 {
		d.wantedAt = now
	}
	if !now.Before(d.expiry) {
		d.granted, d.grant, d.drainingGrant = 0, 0, 0
	}
}

// retainGrant remembers the grant that is about to be replaced, in case more slots are in use than the next one gives.
func (d *zoneDemand) retainGrant() {
	if d.drainingGrant == 0 {
		d.drainingGrant = d.grant
	}
}

// grantInUse returns the grant to name in a request: the grantor keeps the slots of a grant reserved while its holder
// names it. This is the last grant, or an earlier one while requests that were started under it are still in flight.
func (d *zoneDemand) grantInUse(a *slotState) uint64 {
	if d.drainingGrant != 0 && a.inUse.Load() > a.allowances.Load().floor.slots+d.granted {
		return d.drainingGrant
	}
	d.drainingGrant = 0
	return d.grant
}

// ttl returns for how long the grant was given. A leader whose own lease is about to expire gives short grants.
func (d *zoneDemand) ttl() time.Duration { return d.expiry.Sub(d.renewedAt) }

// isIdle reports whether the grant should be returned.
func (d *zoneDemand) isIdle(now time.Time, after time.Duration) bool {
	return d.grant != 0 && d.want == 0 && now.Sub(d.wantedAt) >= after
}

// isDue reports whether a request is due: at most once an interval to request more slots, otherwise to renew the grant.
func (d *zoneDemand) isDue(now time.Time, renewAfter, interval time.Duration) bool {
	if now.Sub(d.lastCallAt) < interval/2 {
		return false
	}
	if d.pending != nil {
		return true
	}
	if d.grant == 0 {
		return d.want > 0
	}
	age := now.Sub(d.renewedAt)
	return age >= min(renewAfter, d.ttl()/2) || (d.want > d.granted && age >= interval)
}
