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
	serverRelist = 15 * time.Second // a complete list this often, whatever the changes said
	coveredWait  = 10 * time.Second // of a watch of the operator's keys while a peer is asked as well
)

// follower keeps configuration and membership as the store has them. It reads the servers' entries
// itself unless a peer covers that, see sharing.
type follower struct {
	store   kv.StaleReader
	catalog *Catalog
	chooser *placement.Chooser
	log     logrus.FieldLogger
	pace    atomic.Pointer[pace]
	table   atomic.Pointer[routing.Table]

	mu         sync.Mutex // guards what follows
	registry   *registry
	operator   *storeCopy
	servers    *storeCopy
	configRead kv.Version      // of the store at the last configuration that was read
	badKeys    map[string]bool // entries that could not be read, logged once
	lost       map[string]bool // reads that fail at the moment
	failed     bool            // a read of the servers failed since the last good one
	covered    time.Time       // until then a peer covers the reads

	ready atomic.Bool // servers were read once
}

func newFollower(
	store kv.StaleReader, catalog *Catalog, chooser *placement.Chooser, s *Settings, log logrus.FieldLogger,
) *follower {
	f := &follower{
		store: store, catalog: catalog, chooser: chooser, log: log,
		registry: newRegistry(s.Zones),
		operator: newStoreCopy(func(e *kv.Entry) uint64 { return xxhash.Sum64String(e.Key + "\x00" + string(e.Value)) }),
		badKeys:  make(map[string]bool),
		lost:     make(map[string]bool),
	}
	f.servers = newStoreCopy(f.serverFingerprint)
	f.pace.Store(newPace(&s.Bounds))
	return f
}

// Table returns the configuration in force, nil while there is none.
func (f *follower) Table() *routing.Table { return f.table.Load() }

// Ready reports whether requests can be served.
func (f *follower) Ready() bool { return f.Table() != nil && f.ready.Load() }

// serverFingerprint hashes what the entry of a server says beside its heartbeat. All that cannot be read means
// the same.
func (f *follower) serverFingerprint(e *kv.Entry) uint64 {
	m, err := f.catalog.DecodeServer(e.Key, e.Value)
	if err != nil {
		return xxhash.Sum64String(e.Key)
	}
	return xxhash.Sum64String(fmt.Sprintf("%s %+v", e.Key, m))
}

// setSettings takes up the deployment's zones and bounds.
func (f *follower) setSettings(s *Settings) {
	f.pace.Store(newPace(&s.Bounds))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.registry.zones = s.Zones
}

// cover notes that a peer's copy makes own reads needless for a while.
func (f *follower) cover(until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.covered = until
}

// fresh reports whether the servers were read lately, by this VM or a peer.
func (f *follower) fresh(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.servers.readAt) < f.pace.Load().shareFresh
}

// readTimes returns when the reads were asked for that the copies reflect; zero if there was none.
func (f *follower) readTimes() (servers, operator time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.servers.readAt, f.operator.readAt
}

// coverLeft returns for how long a peer covers the reads, 0 or less if none does.
func (f *follower) coverLeft() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Until(f.covered)
}

// awaitTurn waits while a peer covers the reads. It returns false once ctx has ended.
func (f *follower) awaitTurn(ctx context.Context) bool {
	for ctx.Err() == nil {
		left := f.coverLeft()
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
		version, _, err := f.list(ctx, readOperatorList, f.catalog.OperatorPrefix, f.takeOperator)
		if err != nil {
			_ = clock.Sleep(ctx, waits.NextBackOff())
			continue
		}
		f.watchOperatorFrom(ctx, version, waits)
	}
}

// watchOperatorOnce waits for changes of the operator's keys. A watch may go deaf, so a VM that reads for others, or for
// itself alone, asks again in time for the bound on configurations; the others hear it from there, as long as they
// are covered. Errors: those of watch, *coverLapsedError.
func (f *follower) watchOperatorOnce(ctx context.Context, version kv.Version) ([]kv.Entry, kv.Version, error) {
	wait := f.pace.Load().operatorWait
	if f.coverLeft() > 0 {
		wait = coveredWait
		covered, cancel := context.WithCancelCause(ctx)
		defer cancel(nil)
		go func() {
			if f.awaitTurn(covered) {
				cancel(&coverLapsedError{})
			}
		}()
		ctx = covered
	}
	return f.watch(ctx, readOperatorChanges, f.catalog.OperatorPrefix, version, wait)
}

// coverLapsedError ends a long watch: no peer covers the reads any more.
type coverLapsedError struct{}

// Error implements error.
func (*coverLapsedError) Error() string { return "no peer covers the reads any more" }

// watchOperatorFrom takes changes until the watch fails, after a wait, or its history is gone.
func (f *follower) watchOperatorFrom(ctx context.Context, version kv.Version, waits *backoff.ExponentialBackOff) {
	for ctx.Err() == nil {
		entries, next, err := f.watchOperatorOnce(ctx, version)
		var compacted *kv.CompactedError
		var lapsed *coverLapsedError
		if errors.As(err, &compacted) || errors.As(err, &lapsed) {
			return
		}
		if err != nil {
			_ = clock.Sleep(ctx, waits.NextBackOff())
			return
		}
		waits.Reset()
		f.takeOperator(func(c *storeCopy) bool { return c.takeChanges(entries, next, time.Now()) })
		version = max(version, next)
	}
}

// list takes all keys with prefix and logs how the read called name went. It returns the store's version and when the list
// was asked for.
func (f *follower) list(
	ctx context.Context, name, prefix string, take func(func(*storeCopy) bool),
) (kv.Version, time.Time, error) {
	asked := time.Now()
	entries, version, err := f.store.List(ctx, prefix)
	f.told(name, err)
	if err == nil {
		take(func(c *storeCopy) bool { return c.takeAll(entries, version, asked) })
	}
	return version, asked, err
}

// watch waits up to wait for changes of the keys with prefix after version, and logs how the read called name went.
// A history that is gone and a cover that lapsed are no failures of the store.
func (f *follower) watch(
	ctx context.Context, name, prefix string, version kv.Version, wait time.Duration,
) ([]kv.Entry, kv.Version, error) {
	call, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	entries, next, err := f.store.Watch(call, prefix, version)
	var lapsed *coverLapsedError
	if err != nil && errors.As(context.Cause(ctx), &lapsed) {
		return nil, 0, lapsed
	}
	var compacted *kv.CompactedError
	if errors.As(err, &compacted) {
		f.log.WithFields(logrus.Fields{"prefix": prefix, "after": version}).Info("watch history gone")
		return nil, 0, err
	}
	f.told(name, err)
	return entries, next, err
}

// pollOperator reads the operator's keys cheaply, in case that the watch went silent.
func (f *follower) pollOperator(ctx context.Context) {
	for clock.Sleep(ctx, f.pace.Load().configReads) == nil {
		entries, version, err := f.store.ListStale(ctx, f.catalog.OperatorPrefix)
		f.told(readOperatorStale, err)
		if err == nil {
			f.takeOperator(func(c *storeCopy) bool { return c.takeAll(entries, version, time.Time{}) })
		}
	}
}

// pollServers follows the servers' entries until ctx ends: a list, then the changes since, a few at a time.
func (f *follower) pollServers(ctx context.Context) {
	waits := newRetryWaits()
	for f.awaitTurn(ctx) {
		version, asked, err := f.list(ctx, readServerList, f.catalog.ServerPrefix, f.takeServers)
		if err != nil {
			_ = clock.Sleep(ctx, waits.NextBackOff())
			continue
		}
		f.pollServersFrom(ctx, version, asked, waits)
	}
}

// pollServersFrom takes the changes after version until a read fails, the history is gone, a peer covers the
// reads, or it is time for another complete list. After a failure it waits.
func (f *follower) pollServersFrom(
	ctx context.Context, version kv.Version, listed time.Time, waits *backoff.ExponentialBackOff,
) {
	asked := listed
	for time.Since(listed) < serverRelist {
		// Changes come together where servers write often; a watch that waited for one asks again at once.
		_ = clock.Sleep(ctx, f.pace.Load().serverReads-time.Since(asked))
		if !f.awaitTurn(ctx) {
			return
		}
		asked = time.Now()
		entries, next, err := f.watch(ctx, readServerChanges, f.catalog.ServerPrefix, version, f.serverWait())
		if err != nil {
			_ = clock.Sleep(ctx, waits.NextBackOff())
			return
		}
		waits.Reset()
		f.takeServers(func(c *storeCopy) bool { return c.takeChanges(entries, next, time.Now()) })
		version = max(version, next)
	}
}

// serverWait returns how long one watch of the servers' entries may wait: not past the time at which servers that are
// kept without an entry are gone.
func (f *follower) serverWait() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	wait := f.pace.Load().serverWait
	if !f.registry.waiting() {
		return wait
	}
	return max(minServerWait, min(wait, time.Until(f.registry.keptUntil())))
}

// minServerWait keeps watches apart that would wait for nothing.
const minServerWait = 50 * time.Millisecond

// Waits between failed calls of the store. Entries that lapsed with the store away are used for 2.3 s after its return is
// seen, so the longest wait is a fraction of that.
const (
	retryFirst  = 150 * time.Millisecond
	retryMax    = 600 * time.Millisecond
	retryGrowth = 2
	retryJitter = 0.3 // part of the wait; keeps entry VMs that failed together apart
)

func newRetryWaits() *backoff.ExponentialBackOff {
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval, waits.MaxInterval = retryFirst, retryMax
	waits.Multiplier, waits.RandomizationFactor = retryGrowth, retryJitter
	return waits
}

// Reads of the store, as told in logs.
const (
	readOperatorList    = "operator-list"
	readOperatorChanges = "operator-watch"
	readOperatorStale   = "operator-read"
	readServerList      = "servers-list"
	readServerChanges   = "servers-changes"
)

// told logs when a kind of read begins to fail and when it works again.
func (f *follower) told(read string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failed = f.failed || err != nil && (read == readServerList || read == readServerChanges)
	switch {
	case err != nil && !f.lost[read]:
		f.lost[read] = true
		f.log.WithFields(logrus.Fields{"read": read, "error": err.Error()}).Warn("store lost")
	case err == nil && f.lost[read]:
		delete(f.lost, read)
		f.log.WithFields(logrus.Fields{"read": read}).Info("store regained")
	}
}
