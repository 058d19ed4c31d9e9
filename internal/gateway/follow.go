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
	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/placement"
	"github.com/azureflow/azureflow/internal/routing"
)

const (
	serverRelistInterval = 15 * time.Second       // between two complete lists, whatever changes were received
	resumeWait           = 300 * time.Millisecond // of the first watch of the servers after a peer's copy expired
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

	confirmation  *confirmation // of the operator's keys
	configRefused atomic.Bool   // the newest configuration could not be decoded, so that an older one is in force
	keysRefused   atomic.Bool   // requests with keys are refused, by the last log line about it

	entryVMs  atomic.Pointer[map[string]bool] // addresses of entry VMs by the settings
	listedVMs func() []presenceRecord         // the other entry VMs that are known; may be nil

	mu                 sync.Mutex // guards the fields below
	registry           *registry
	operator           *storeCopy
	servers            *storeCopy
	configStoreVersion kv.Version      // store version of the configuration that was read last
	unreadableKeys     map[string]bool // keys of entries that could not be decoded; each is logged once
	failingReads       map[string]bool // kinds of reads that fail at present
	serverReadFailed   bool            // a read of the servers failed since the last successful one
	peerCopyValidUntil time.Time       // until then a peer's copy replaces own reads
	keepsEvacuations   bool            // zones stay evacuated that the store which came back older does not name

	serversRead atomic.Bool // the servers were read at least once
}

func newFollower(
	store kv.StaleReader, catalog *Catalog, chooser *placement.Chooser, s *Settings, log logrus.FieldLogger, metrics *Metrics,
) *follower {
	f := &follower{
		store: store, catalog: catalog, chooser: chooser, log: log, metrics: metrics,
		registry:       newRegistry(s.Zones),
		operator:       newStoreCopy(inspectValue),
		unreadableKeys: make(map[string]bool),
		failingReads:   make(map[string]bool),
		confirmation:   newConfirmation(s.Bounds.Revoke),
	}
	f.servers = newStoreCopy(f.inspectServer)
	f.servers.accepts = f.acceptsServer
	f.setEntryVMs(s)
	f.servers.onOutdated = f.recordOutdated
	f.operator.rewind.rewriteTime = operatorRewriteTime
	f.servers.rewind.rewriteTime = reregisterTime + reregisterMargin
	f.intervals.Store(newIntervals(&s.Bounds))
	return f
}

// Table returns the configuration in force, nil if there is none.
func (f *follower) Table() *routing.Table { return f.table.Load() }

// Ready reports whether requests can be served.
func (f *follower) Ready() bool { return f.Table() != nil && f.serversRead.Load() }

// inspectServer hashes the entry of a server without its number. An entry that cannot be decoded names no server and may
// be large: its content is removed, and all such entries of a key have the same hash.
func (f *follower) inspectServer(e *kv.Entry) (fingerprint uint64, number writeNumber) {
	decoded, err := f.catalog.DecodeServer(e.Key, e.Value)
	if err != nil {
		f.recordUnreadable(e, err)
		e.Value = nil
		return xxhash.Sum64String(e.Key), writeNumber{}
	}
	number = numberOf(&decoded)
	return xxhash.Sum64String(fmt.Sprintf("%s %+v", e.Key, decoded.Member)), number
}

// setSettings applies the deployment's zones and bounds.
func (f *follower) setSettings(s *Settings) {
	f.intervals.Store(newIntervals(&s.Bounds))
	f.confirmation.bound.Store(int64(s.Bounds.Revoke))
	f.setEntryVMs(s)
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

// describeCopies describes the copies to a peer.
func (f *follower) describeCopies() (servers, operator *peer.StoreCopy) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.servers.describe(), f.operator.describe()
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

// watchOperator follows the operator's keys until ctx ends, while no peer's copy replaces own reads.
func (f *follower) watchOperator(ctx context.Context) {
	waits := newRetryWaits()
	for f.awaitOwnReads(ctx) {
		version, err := f.readOperator(ctx)
		if err != nil {
			_ = clock.Sleep(ctx, waits.NextBackOff())
			continue
		}
		f.watchOperatorFrom(ctx, version, waits)
	}
}

// watchOperatorFrom applies changes until the watch fails, after which it waits, its history is compacted, or a peer's
// copy replaces own reads. A watch may stall, so it is renewed in time for the bound on configurations.
func (f *follower) watchOperatorFrom(ctx context.Context, version kv.Version, waits *backoff.ExponentialBackOff) {
	for ctx.Err() == nil && f.peerCopyValidFor() <= 0 {
		entries, next, err := f.watchKeys(
			ctx, readOperatorChanges, f.catalog.OperatorPrefix, version, f.intervals.Load().operatorWait)
		var compacted *kv.CompactedError
		if errors.As(err, &compacted) {
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
	var compacted *kv.CompactedError
	if errors.As(err, &compacted) {
		f.log.WithFields(logrus.Fields{"prefix": prefix, "after": version}).Info("watch history gone")
		return nil, 0, err
	}
	f.logReadOutcome(name, err)
	return entries, next, err
}

// pollOperator reads the operator's keys, in case the watch has stalled, while no peer's copy replaces own reads. Stale
// reads are cheaper, but confirm no keys of client accounts.
func (f *follower) pollOperator(ctx context.Context) {
	failures := 0 // in a row
	for clock.Sleep(ctx, f.operatorPause(failures)) == nil && f.awaitOwnReads(ctx) {
		if f.confirmation.isRequired() {
			if _, err := f.readOperator(ctx); err != nil {
				failures++
			} else {
				failures = 0
			}
			continue
		}
		entries, version, err := f.store.ListStale(ctx, f.catalog.OperatorPrefix)
		f.logReadOutcome(readOperatorStale, err)
		if err == nil {
			f.updateOperator(func(c *storeCopy) bool { return c.applyList(entries, version, time.Time{}) })
		}
	}
}

// pollServers follows the servers' entries until ctx ends: a list, then the changes since, in batches. Own reads that
// resume after a peer's copy expired continue from that copy.
func (f *follower) pollServers(ctx context.Context) {
	waits := newRetryWaits()
	resumes := false
	for f.awaitOwnReads(ctx) {
		var version kv.Version
		var readAt time.Time
		var err error
		if resumes {
			version, readAt, err = f.resumeServers(ctx)
		} else {
			version, readAt, err = f.listKeys(ctx, readServerList, f.catalog.ServerPrefix, f.updateServers)
		}
		if err != nil {
			resumes = false
			_ = clock.Sleep(ctx, waits.NextBackOff())
			continue
		}
		resumes = f.pollServersFrom(ctx, version, readAt, waits)
	}
}

// resumeServers reads what changed since the copy of the servers' entries. A stalled watch does not delay it for long.
func (f *follower) resumeServers(ctx context.Context) (kv.Version, time.Time, error) {
	f.mu.Lock()
	version := f.servers.version
	f.mu.Unlock()
	requestedAt := time.Now()
	entries, next, err := f.watchKeys(ctx, readServerChanges, f.catalog.ServerPrefix, version, resumeWait)
	if err != nil {
		return 0, requestedAt, err
	}
	f.updateServers(func(c *storeCopy) bool { return c.applyChanges(entries, next, requestedAt) })
	return max(version, next), requestedAt, nil
}

// pollServersFrom applies the changes after version until a read fails, after which it waits, the history is compacted,
// a peer's copy replaces own reads, or the next complete list is due. It reports whether a peer's copy did.
func (f *follower) pollServersFrom(
	ctx context.Context, version kv.Version, readAt time.Time, waits *backoff.ExponentialBackOff,
) (replaced bool) {
	requestedAt := readAt
	for time.Since(readAt) < serverRelistInterval {
		// The pause batches changes where servers write often; a watch that waited for a change is renewed at once.
		_ = clock.Sleep(ctx, f.intervals.Load().serverReadInterval-time.Since(requestedAt))
		if f.peerCopyValidFor() > 0 || ctx.Err() != nil {
			return true
		}
		requestedAt = time.Now()
		entries, next, err := f.watchKeys(ctx, readServerChanges, f.catalog.ServerPrefix, version, f.serverWait())
		if err != nil {
			_ = clock.Sleep(ctx, waits.NextBackOff())
			return false
		}
		waits.Reset()
		f.updateServers(func(c *storeCopy) bool { return c.applyChanges(entries, next, time.Now()) })
		version = max(version, next)
	}
	return false
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
