package memkv

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/azureflow/azureflow/internal/clock"
	"github.com/azureflow/azureflow/internal/kv"
)

// ErrInjected is the cause of errors that a fault made.
var ErrInjected = merry.Sentinel("fault switched on in the stand-in")

// Client is one client of a Store. It implements kv.Store.
type Client struct {
	store  *Store
	name   string
	faults Faults // guarded by store.mu
	counts Counts // guarded by store.mu
}

var _ kv.Store = (*Client)(nil)

// SetFaults replaces the faults that this client meets besides the store's.
func (c *Client) SetFaults(f Faults) {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	c.faults = f
	c.store.toggle()
}

// Counts returns the calls of this client.
func (c *Client) Counts() Counts {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	return c.counts
}

// Get implements kv.Store.
func (c *Client) Get(ctx context.Context, key string) (kv.Entry, error) {
	var entry kv.Entry
	err := c.read(ctx, OpGet, key, func(p plan) (err error) {
		if p.stale != nil {
			entry, err = getRecord(p.stale.records, key)
			return err
		}
		entry, err = c.store.engine.get(key)
		return err
	})
	return entry, err
}

// List implements kv.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]kv.Entry, kv.Version, error) {
	var entries []kv.Entry
	var version kv.Version
	err := c.read(ctx, OpList, prefix, func(p plan) error {
		if p.stale != nil {
			entries, version = listRecords(p.stale.records, prefix), p.stale.version
			return nil
		}
		entries, version = c.store.engine.list(prefix)
		return nil
	})
	return entries, version, err
}

// CompareAndSwap implements kv.Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expect kv.Version, value []byte, lease kv.LeaseID) (kv.Version, error) {
	return write(ctx, c, OpSwap, key, func() (kv.Version, error) {
		return c.store.engine.compareAndSwap(key, expect, value, lease)
	})
}

// Delete implements kv.Store.
func (c *Client) Delete(ctx context.Context, key string, expect kv.Version) error {
	_, err := write(ctx, c, OpDelete, key, func() (struct{}, error) {
		return struct{}{}, c.store.engine.remove(key, expect)
	})
	return err
}

// Grant implements kv.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (kv.Lease, error) {
	return write(ctx, c, OpGrant, "", func() (kv.Lease, error) {
		return c.store.engine.grant(ttl), nil
	})
}

// KeepAlive implements kv.Store.
func (c *Client) KeepAlive(ctx context.Context, id kv.LeaseID) error {
	_, err := write(ctx, c, OpKeepAlive, "", func() (struct{}, error) {
		return struct{}{}, c.store.engine.keepAlive(id)
	})
	return err
}

// Revoke implements kv.Store.
func (c *Client) Revoke(ctx context.Context, id kv.LeaseID) error {
	_, err := write(ctx, c, OpRevoke, "", func() (struct{}, error) {
		return struct{}{}, c.store.engine.revoke(id)
	})
	return err
}

func (c *Client) read(ctx context.Context, op Op, key string, do func(plan) error) error {
	p := c.store.admit(c, op, key, false)
	if p.verdict != VerdictPass {
		return &kv.UnavailableError{Op: string(op), Cause: ErrInjected}
	}
	if err := clock.Sleep(ctx, p.delay/2); err != nil {
		return &kv.UnavailableError{Op: string(op), Cause: err}
	}
	if err := do(p); err != nil {
		return err
	}
	if err := clock.Sleep(ctx, p.delay/2); err != nil {
		return &kv.UnavailableError{Op: string(op), Cause: err}
	}
	return nil
}

// result is the answer of a write.
type result[T any] struct {
	value T
	err   error
}

// write runs a write under the faults. A write that was sent takes effect even if its client
// stops waiting, as over a network.
func write[T any](ctx context.Context, c *Client, op Op, key string, do func() (T, error)) (T, error) {
	var none T
	p := c.store.admit(c, op, key, true)
	if err := ctx.Err(); err != nil {
		return none, &kv.UnavailableError{Op: string(op), Cause: err}
	}
	if p.verdict == VerdictRefuse {
		return none, &kv.UnavailableError{Op: string(op), Cause: ErrInjected}
	}
	if p.verdict == VerdictLoseRequest {
		return none, c.lost(ctx, op, p.delay)
	}
	answer := make(chan result[T], 1)
	run := func() {
		_ = clock.Sleep(context.Background(), p.delay/2)
		value, err := do()
		_ = clock.Sleep(context.Background(), p.delay/2)
		answer <- result[T]{value, err}
	}
	if p.delay == 0 {
		run()
	} else {
		go run()
	}
	select {
	case r := <-answer:
		if p.verdict == VerdictLoseAnswer {
			return none, &kv.EffectUnknownError{Op: string(op), Cause: ErrInjected}
		}
		return r.value, r.err
	case <-ctx.Done():
		return none, &kv.EffectUnknownError{Op: string(op), Cause: ctx.Err()}
	}
}

func (c *Client) lost(ctx context.Context, op Op, delay time.Duration) error {
	_ = clock.Sleep(ctx, delay)
	return &kv.EffectUnknownError{Op: string(op), Cause: ErrInjected}
}
