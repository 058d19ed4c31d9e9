package gateway

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/azureflow/azureflow/internal/clock"
	"github.com/azureflow/azureflow/internal/kv"
	"github.com/azureflow/azureflow/internal/placement"
	"github.com/azureflow/azureflow/internal/routing"
)

const (
	serverRelistInterval = 15 * time.Second // between two complete lists, whatever changes were received
	operatorWaitWithPeer = 10 * time.Second // of a watch of the operator's keys while a peer is queried too
)

// follower keeps configuration and membership as the store has them. It reads the servers' entries itself unless a
// peer's copy replaces these reads, see sharing.
type follower struct {
	store     kv.StaleReader
	catalog   *Catalog
	chooser   *placement.Chooser
	log       logrus.FieldLogger
	metrics   *Metrics
	intervals atomic.Pointer[intervals]
	table     atomic.Pointer[routing.Table]

	mu                 sync.Mutex // guards the fields below
	registry           *registry
	operator           *storeCopy
	servers            *storeCopy
	configStoreVersion kv.Version      // store version of the configuration that was read last
	unreadableKeys     map[string]bool // keys of entries that could not be decoded; each is logged once
	failingReads       map[string]bool // kinds of reads that fail at present
	serverReadFailed   bool            // a read of the servers failed since the last successful one
	peerCopyValidUntil time.Time       // until then a peer's copy replaces own reads

	serversRead atomic.Bool // the servers were read at least once
}

func newFollower(
	store kv.StaleReader, catalog *Catalog, chooser *placement.Chooser, s *Settings, log logrus.FieldLogger, metrics *Metrics,
) *follower {
	f := &follower{
		store: store, catalog: catalog, chooser: chooser, log: log, metrics: metrics,
		registry:       newRegistry(s.Zones),
		operator:       newStoreCopy(func(e *kv.Entry) uint64 { return xxhash.Sum64String(e.Key + "\x00" + string(e.Value)) }),
		unreadableKeys: make(map[string]bool),
		failingReads:   make(map[string]bool),
	}
	f.servers = newStoreCopy(f.serverFingerprint)
	f.intervals.Store(newIntervals(&s.Bounds))
	return f
}

// Table returns the configuration in force, nil if there is none.
func (f *follower) Table() *routing.Table { return f.table.Load() }

// Ready reports whether requests can be served.
func (f *follower) Ready() bool { return f.Table() != nil && f.serversRead.Load() }

// serverFingerprint hashes the entry of a server without its heartbeat. An entry that cannot be decoded names no server
// and may be large: its content is removed, and all such entries of a key have the same hash.
func (f *follower) serverFingerprint(e *kv.Entry) uint64 {
	m, err := f.catalog.DecodeServer(e.Key, e.Value)
	if err != nil {
		f.recordUnreadable(e, err)
		e.Value = nil
		return xxhash.Sum64String(e.Key)
	}
	return xxhash.Sum64String(fmt.Sprintf("%s %+v", e.Key, m))
}

// setSettings applies the deployment's zones and bounds.
func (f *follower) setSettings(s *Settings) {
	f.intervals.Store(newIntervals(&s.Bounds))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.registry.zones = s.Zones
}

// setPeerCopyValidUntil records that a peer's copy replaces own reads until then.
func (f *follower) setPeerCopyValidUntil(until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peerCopyValidUntil = until
}

// hasFreshServers reports whether this VM or a peer read the servers within shareMaxAge.
func (f *follower) hasFreshServers(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.servers.readAt) < f.intervals.Load().shareMaxAge
}

// readTimes returns when the reads were requested that the copies reflect; zero if there was none.
func (f *follower) readTimes() (servers, operator time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.servers.readAt, f.operator.readAt
}

// peerCopyValidFor returns for how long a peer's copy still replaces own reads, 0 or less if none does.
func (f *follower) peerCopyValidFor() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Until(f.peerCopyValidUntil)
}

// awaitOwnReads waits while a peer's copy replaces own reads. It returns false once ctx has ended.
func (f *follower) awaitOwnReads(ctx context.Context) bool {
	for ctx.Err() == nil {
		left := f.peerCopyValidFor()
		if left <= 0 {
			return true
		}
		_ = clock.Sleep(ctx, left)
	}
	return false
}

// watchOperator follows the operator's keys until ctx ends.
func (f *follower) watchOperator(ctx context.Context) {
	waits := newRetryWaits()
	for ctx.Err() == nil {
		version, _, err := f.listKeys(ctx, readOperatorList, f.catalog.OperatorPrefix, f.updateOperator)
		if err != nil {
			_ = clock.Sleep(ctx, waits.NextBackOff())
			continue
		}
		f.watchOperatorFrom(ctx, version, waits)
	}
}

// watchOperatorOnce waits for changes of the operator's keys. A watch may stall, so a VM that reads for others, or only
// for itself, renews it in time for the bound on configurations; the others receive changes from that VM as long as
// peer copies replace their reads. Errors: those of watchKeys, *peerCopyExpiredError.
func (f *follower) watchOperatorOnce(ctx context.Context, version kv.Version) ([]kv.Entry, kv.Version, error) {
	wait := f.intervals.Load().operatorWait
	if f.peerCopyValidFor() > 0 {
		wait = operatorWaitWithPeer
		watchCtx, cancel := context.WithCancelCause(ctx)
		defer cancel(nil)
		go func() {
			if f.awaitOwnReads(watchCtx) {
				cancel(&peerCopyExpiredError{})
			}
		}()
		ctx = watchCtx
	}
	return f.watchKeys(ctx, readOperatorChanges, f.catalog.OperatorPrefix, version, wait)
}

// peerCopyExpiredError ends a long watch: no peer's copy replaces own reads any more.
type peerCopyExpiredError struct{}

// Error implements error.
func (*peerCopyExpiredError) Error() string { return "peer copy expired: own reads resume" }

// watchOperatorFrom applies changes until the watch fails, after which it waits, or its history is compacted.
func (f *follower) watchOperatorFrom(ctx context.Context, version kv.Version, waits *backoff.ExponentialBackOff) {
	for ctx.Err() == nil {
		entries, next, err := f.watchOperatorOnce(ctx, version)
		var compacted *kv.CompactedError
		var expired *peerCopyExpiredError
		if errors.As(err, &compacted) || errors.As(err, &expired) {
			return
		}
		if err != nil {
			_ = clock.Sleep(ctx, waits.NextBackOff())
			return
		}
		waits.Reset()
		f.updateOperator(func(c *storeCopy) bool { return c.applyChanges(entries, next, time.Now()) })
		version = max(version, next)
	}
}

// listKeys passes all keys with prefix to update and logs the outcome of the read called name. It returns the store's
// version and when the list was requested.
func (f *follower) listKeys(
	ctx context.Context, name, prefix string, update func(func(*storeCopy) bool),
) (kv.Version, time.Time, error) {
	requestedAt := time.Now()
	entries, version, err := f.store.List(ctx, prefix)
	f.logReadOutcome(name, err)
	if err == nil {
		update(func(c *storeCopy) bool { return c.applyList(entries, version, requestedAt) })
	}
	return version, requestedAt, err
}

// watchKeys waits up to wait for changes of the keys with prefix after version, and logs the outcome of the read called
// name. A compacted history and an expired peer copy are no failures of the store.
func (f *follower) watchKeys(
	ctx context.Context, name, prefix string, version kv.Version, wait time.Duration,
) ([]kv.Entry, kv.Version, error) {
	call, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	entries, next, err := f.store.Watch(call, prefix, version)
	var expired *peerCopyExpiredError
	if err != nil && errors.As(context.Cause(ctx), &expired) {
		return nil, 0, expired
	}
	var compacted *kv.CompactedError
	if errors.As(err, &compacted) {
		f.log.WithFields(logrus.Fields{"prefix": prefix, "after": version}).Info("watch history gone")
		return nil, 0, err
	}
	f.logReadOutcome(name, err)
	return entries, next, err
}

// pollOperator reads the operator's keys by stale reads, in case the watch has stalled.
func (f *follower) pollOperator(ctx context.Context) {
	for clock.Sleep(ctx, f.intervals.Load().configReadInterval) == nil {
		entries, version, err := f.store.ListStale(ctx, f.catalog.OperatorPrefix)
		f.logReadOutcome(readOperatorStale, err)
		if err == nil {
			f.updateOperator(func(c *storeCopy) bool { return c.applyList(entries, version, time.Time{}) })
		}
	}
}

// pollServers follows the servers' entries until ctx ends: a list, then the changes since, in batches.
func (f *follower) pollServers(ctx context.Context) {
	waits := newRetryWaits()
	for f.awaitOwnReads(ctx) {
		version, requestedAt, err := f.listKeys(ctx, readServerList, f.catalog.ServerPrefix, f.updateServers)
		if err != nil {
			_ = clock.Sleep(ctx, waits.NextBackOff())
			continue
		}
		f.pollServersFrom(ctx, version, requestedAt, waits)
	}
}

// pollServersFrom applies the changes after version until a read fails, the history is compacted, a peer's copy
// replaces own reads, or the next complete list is due. After a failure it waits.
func (f *follower) pollServersFrom(
	ctx context.Context, version kv.Version, listed time.Time, waits *backoff.ExponentialBackOff,
) {
	requestedAt := listed
	for time.Since(listed) < serverRelistInterval {
		// The pause batches changes where servers write often; a watch that waited for a change is renewed at once.
		_ = clock.Sleep(ctx, f.intervals.Load().serverReadInterval-time.Since(requestedAt))
		if !f.awaitOwnReads(ctx) {
			return
		}
		requestedAt = time.Now()
		entries, next, err := f.watchKeys(ctx, readServerChanges, f.catalog.ServerPrefix, version, f.serverWait())
		if err != nil {
			_ = clock.Sleep(ctx, waits.NextBackOff())
			return
		}
		waits.Reset()
		f.updateServers(func(c *storeCopy) bool { return c.applyChanges(entries, next, time.Now()) })
		version = max(version, next)
	}
}

// serverWait returns the time limit of one watch of the servers' entries: not past the time at which servers that are
// retained without an entry are removed.
func (f *follower) serverWait() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	wait := f.intervals.Load().serverWait
	if !f.registry.hasRetained() {
		return wait
	}
	return max(minServerWait, min(wait, time.Until(f.registry.retainedUntil())))
}

// minServerWait is the shortest wait of a watch, so that watches do not follow each other without a pause.
const minServerWait = 50 * time.Millisecond

// Backoff between failed calls to the store. Entries that expired while the store was unreachable are used for 2.3 s
// after its recovery is detected, so the longest wait is a fraction of that.
const (
	retryFirst  = 150 * time.Millisecond
	retryMax    = 600 * time.Millisecond
	retryGrowth = 2
	retryJitter = 0.3 // fraction of the wait; spreads the retries of entry VMs that failed together
)

func newRetryWaits() *backoff.ExponentialBackOff {
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval, waits.MaxInterval = retryFirst, retryMax
	waits.Multiplier, waits.RandomizationFactor = retryGrowth, retryJitter
	return waits
}

// Kinds of reads of the store in log lines.
const (
	readOperatorList    = "operator-list"
	readOperatorChanges = "operator-watch"
	readOperatorStale   = "operator-read"
	readServerList      = "servers-list"
	readServerChanges   = "servers-changes"
)

// logReadOutcome logs when a kind of read starts to fail and when it succeeds again, and records that a read of the
// servers failed.
func (f *follower) logReadOutcome(read string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.serverReadFailed = f.serverReadFailed || err != nil && (read == readServerList || read == readServerChanges)
	switch {
	case err != nil && !f.failingReads[read]:
		f.failingReads[read] = true
		f.log.WithFields(logrus.Fields{"read": read, "error": err.Error()}).Warn("store lost")
	case err == nil && f.failingReads[read]:
		delete(f.failingReads, read)
		f.log.WithFields(logrus.Fields{"read": read}).Info("store regained")
	}
}
