package steering

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/azureflow/azureflow/internal/clock"
	"github.com/azureflow/azureflow/internal/kv"
)

// Defaults of FollowerOptions.
const (
	defaultStoreCallsPerMin = 240
	defaultHeadPoll         = 2 * time.Second
	startPoll               = 500 * time.Millisecond // while nothing is in force yet
	defaultPeerPoll         = 2 * time.Second
	defaultStoreFallback    = 10 * time.Second
	defaultPeerTimeout      = 2 * time.Second
	defaultStoreTimeout     = 3 * time.Second
	storeBurst              = 20 // calls
	unreadableRetry         = 30 * time.Second
	alarmInterval           = time.Minute // between alarms of the same cause
	jitterShare             = 0.25
)

// FollowerOptions configure a Follower. None is required; without Store and FetchFromPeers it
// applies only configurations passed to Offer.
type FollowerOptions struct {
	Store kv.Store
	// WatchStore reports whether this VM follows the store itself, as the leader of its zone does; by
	// default it always does. Others follow their peers, and read the store if these fail.
	WatchStore func() bool
	// FetchFromPeers returns the highest configuration above a revision that a peer has, as
	// FetchRevision returns it; revision 0: none. With above 0 it fetches the full configuration. It returns
	// an error, for example *NoPeerError, if no peer responded; if it returns no error, the peers count as
	// reached.
	FetchFromPeers func(ctx context.Context, above Revision) ([]byte, Revision, error)
	// OnRevision is called for each configuration applied, in order, one call at a time. It must
	// not call Offer.
	OnRevision func(*Configuration)
	// OnAlarm is called when a condition starts that an operator has to know of.
	OnAlarm func(Alarm)

	StoreCallsPerMin int           // budget; default 240
	HeadPoll         time.Duration // between reads of the head in addition to the watch; default 2 s
	PeerPoll         time.Duration // between requests to peers; default 2 s
	StoreFallback    time.Duration // without a peer's response before the store is read; default 10 s
}

func (o *FollowerOptions) setDefaults() {
	if o.WatchStore == nil {
		o.WatchStore = func() bool { return true }
	}
	if o.OnRevision == nil {
		o.OnRevision = func(*Configuration) {}
	}
	if o.OnAlarm == nil {
		o.OnAlarm = func(Alarm) {}
	}
	setDefault(&o.StoreCallsPerMin, defaultStoreCallsPerMin)
	setDefault(&o.HeadPoll, defaultHeadPoll)
	setDefault(&o.PeerPoll, defaultPeerPoll)
	setDefault(&o.StoreFallback, defaultStoreFallback)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Follower keeps the configuration in force on one entry VM. It never applies a revision lower than
// the one in force, whatever its source. Its methods are safe for concurrent use.
type Follower struct {
	options FollowerOptions
	budget  *rate.Limiter
	wake    chan struct{} // wakes the peer loop

	inForce atomic.Pointer[state]
	applyMu sync.Mutex // held while a state is applied

	mu                sync.Mutex // guards what follows
	status            Status
	last              storedHead    // as last read by pollHead or watchOnce
	failedPublication PublicationID // the last that could not be decoded
	failedAt          time.Time
	alarmedHead       PublicationID // publication of the last head for which an outdated-head alarm was raised
	alarmedAt         time.Time
}

// NewFollower returns a Follower that has nothing in force yet.
func NewFollower(o FollowerOptions) *Follower {
	o.setDefaults()
	perSecond := rate.Limit(float64(o.StoreCallsPerMin) / time.Minute.Seconds())
	return &Follower{
		options: o,
		budget:  rate.NewLimiter(perSecond, storeBurst),
		wake:    make(chan struct{}, 1),
	}
}

// Current returns the configuration in force, or nil before the first.
func (f *Follower) Current() *Configuration {
	if s := f.inForce.Load(); s != nil {
		return s.configuration
	}
	return nil
}

// Revision returns the revision in force, 0 before the first.
func (f *Follower) Revision() Revision {
	if c := f.Current(); c != nil {
		return c.Revision
	}
	return 0
}

// OnPeerRevision notifies the follower of the revision that a peer has in force, as received in a
// heartbeat. A higher revision than the own is fetched immediately.
func (f *Follower) OnPeerRevision(revision Revision) {
	if revision <= f.Revision() {
		return
	}
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Run follows store and peers until ctx ends and then returns nil.
func (f *Follower) Run(ctx context.Context) error {
	f.fetchFromPeers(ctx)
	if f.Current() == nil && f.options.Store != nil {
		_, _ = f.readStore(ctx) // the status holds the error; the loops retry
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { f.followPeers(ctx); return nil })
	if f.options.Store != nil {
		group.Go(func() error { f.followStore(ctx); return nil })
		group.Go(func() error { f.pollHead(ctx); return nil })
	}
	return group.Wait()
}

// interval returns d, shortened while nothing is in force yet.
func (f *Follower) interval(d time.Duration) time.Duration {
	if f.Current() == nil {
		return min(d, startPoll)
	}
	return d
}

// pause waits for about d, jittered, or until ctx ends, and reports whether ctx is still active.
func pause(ctx context.Context, d time.Duration) bool {
	spread := 1 + jitterShare*(2*rand.Float64()-1)
	return clock.Sleep(ctx, time.Duration(float64(d)*spread)) == nil
}

// newBackoff returns the backoff between retries of failed calls.
func newBackoff() *backoff.ExponentialBackOff {
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval, waits.MaxInterval = defaultRetryMin, defaultRetryMax
	return waits
}
