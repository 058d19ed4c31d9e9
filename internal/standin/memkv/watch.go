package memkv

import (
	"context"
	"time"

	"github.com/azureflow/azureflow/internal/clock"
	"github.com/azureflow/azureflow/internal/kv"
)

// Watch implements kv.Store.
func (c *Client) Watch(ctx context.Context, prefix string, after kv.Version) ([]kv.Entry, kv.Version, error) {
	p := c.store.admit(c, OpWatch, prefix, false)
	if p.verdict != VerdictPass {
		return nil, 0, &kv.UnavailableError{Op: string(OpWatch), Cause: ErrInjected}
	}
	if err := clock.Sleep(ctx, p.delay); err != nil {
		return nil, 0, &kv.UnavailableError{Op: string(OpWatch), Cause: err}
	}
	deadline := time.Now().Add(c.store.maxWatch)
	for {
		entries, version, changed, lapse := c.look(p, prefix, after)
		if !p.silent && (len(entries) > 0 || version < after) {
			return entries, version, nil
		}
		wait := time.Until(deadline)
		if wait <= 0 && !p.silent {
			return nil, version, nil
		}
		if lapse > 0 {
			wait = min(wait, lapse)
		}
		if err := c.await(ctx, p, wait, changed); err != nil {
			return nil, 0, &kv.UnavailableError{Op: string(OpWatch), Cause: err}
		}
		c.store.refresh(c, &p)
	}
}

func (c *Client) look(p plan, prefix string, after kv.Version) ([]kv.Entry, kv.Version, <-chan struct{}, time.Duration) {
	if p.stale == nil {
		return c.store.engine.changes(prefix, after)
	}
	if p.stale.version < after {
		return listRecords(p.stale.records, prefix), p.stale.version, nil, 0
	}
	return changedRecords(p.stale.records, prefix, after), p.stale.version, nil, 0
}

// await waits for a change of the keys or of the faults, or for d; a silent watch waits for ctx.
func (c *Client) await(ctx context.Context, p plan, d time.Duration, changed <-chan struct{}) error {
	var expired <-chan time.Time
	if !p.silent {
		timer := time.NewTimer(d)
		defer timer.Stop()
		expired = timer.C
	} else {
		changed = nil
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-changed:
	case <-expired:
	case <-p.toggled:
		if c.store.isDown(c) {
			return ErrInjected
		}
	}
	return nil
}

// refresh takes up faults that changed during a wait. A silent watch stays silent.
func (s *Store) refresh(c *Client, p *plan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.silent = p.silent || s.faults.WatchSilent || c.faults.WatchSilent
	p.stale = s.faults.Stale
	if c.faults.Stale != nil {
		p.stale = c.faults.Stale
	}
	p.toggled = s.toggled
}
