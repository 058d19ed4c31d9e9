package steering

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"time"

	"github.com/azureflow/azureflow/internal/clock"
	"github.com/azureflow/azureflow/internal/kv"
)

const (
	defaultPublishTimeout = 15 * time.Second
	defaultRetryMin       = 50 * time.Millisecond
	defaultRetryMax       = 2 * time.Second
	maxRebases            = 64
	cleanTimeout          = 3 * time.Second
)

// PublisherOptions configure a Publisher. Only Store has no default.
type PublisherOptions struct {
	Store kv.Store
	// Timeout bounds a publication, settling included; default 15 s.
	Timeout time.Duration
	// HighestInForce returns the highest configuration that an entry VM has in force, or nil. With it
	// a publication goes on from there if the store went back. By default it is not asked.
	HighestInForce func(ctx context.Context) (*Configuration, error)
	// NewRandom returns 16 hexadecimal digits that no other publication has.
	NewRandom func() string
}

// Publisher puts configurations in force. It keeps no state between calls.
type Publisher struct {
	options PublisherOptions
}

// NewPublisher returns a Publisher.
func NewPublisher(o PublisherOptions) *Publisher {
	if o.Timeout == 0 {
		o.Timeout = defaultPublishTimeout
	}
	if o.NewRandom == nil {
		o.NewRandom = newRandom
	}
	return &Publisher{options: o}
}

func newRandom() string {
	var digits [randomDigits / 2]byte
	_, _ = rand.Read(digits[:])
	return hex.EncodeToString(digits[:])
}

// PublishOptions configure one publication.
type PublishOptions struct {
	// Base is the revision that the files were written against; 0 means the one in force when the
	// publication begins. What others changed since is a *ConflictError.
	Base Revision
	// DryRun makes no write.
	DryRun bool
}

// PublishResult says what a publication did.
type PublishResult struct {
	Revision    Revision      // in force in the store
	Publication PublicationID // empty if nothing was published
	PublishedAt time.Time
	// Unchanged: the files say what was in force already, and nothing was published.
	Unchanged bool
	// StoreWasBehind is the revision of the store's head if it was below the highest in force.
	StoreWasBehind *Revision
	Rebased        int         // times that another publication came first
	Difference     *Difference // to what was in force
}

// Publish puts the content of tree in force. Errors: *FaultsError (files do not fit what is in
// force), *ConflictError (another publication of the same service came first), *NotAcceptedError,
// and *OutcomeUnknownError, which Settle resolves.
func (p *Publisher) Publish(ctx context.Context, tree *Tree, o PublishOptions) (PublishResult, error) {
	ctx, cancel := context.WithTimeout(ctx, p.options.Timeout)
	defer cancel()
	run := &publishRun{publisher: p, store: p.options.Store, tree: tree, options: o}
	return run.do(ctx)
}

// InForce returns the configuration that the store holds, or nil if none was published.
func (p *Publisher) InForce(ctx context.Context) (*Configuration, error) {
	h, err := readHead(ctx, p.options.Store)
	if err != nil {
		return nil, err
	}
	s, err := loadState(ctx, p.options.Store, h.head, nil)
	if err != nil || s.configuration.Revision == 0 {
		return nil, err
	}
	return s.configuration, nil
}

// publishRun is one publication over its tries.
type publishRun struct {
	publisher *Publisher
	store     kv.Store
	tree      *Tree
	options   PublishOptions

	base   Revision
	mine   *delta // of the first try
	tried  []publication
	result PublishResult
}

// basis is what one try goes on from.
type basis struct {
	head  headAt
	state *state
	// behind: the store's head is below state, which came from an entry VM.
	behind bool
}

func (r *publishRun) do(ctx context.Context) (PublishResult, error) {
	waits := newWaits()
	for r.result.Rebased < maxRebases {
		done, err := r.try(ctx)
		if done || err != nil {
			return r.result, err
		}
		if r.result.Rebased++; r.result.Rebased > 1 {
			_ = clock.Sleep(ctx, waits.NextBackOff())
		}
	}
	return r.result, &NotAcceptedError{Cause: &BusyError{Attempts: maxRebases}}
}

// try makes one try and reports whether the publication is over.
func (r *publishRun) try(ctx context.Context) (bool, error) {
	b, err := r.readBasis(ctx)
	if err != nil {
		return true, r.lost(err)
	}
	if r.accepted(b.head.head) {
		return true, nil
	}
	d, err := r.changes(b)
	if err != nil {
		return true, err
	}
	unchanged := d.empty() && !b.behind
	if r.options.DryRun || unchanged {
		r.result.Revision = b.state.configuration.Revision
		r.result.Unchanged = unchanged
	}
	switch {
	case r.options.DryRun:
		return true, nil
	case unchanged:
		return r.confirm(ctx, b)
	}
	return r.write(ctx, b, d)
}

// confirm makes sure that the head was not read from the past before the result says that nothing
// changed: it rewrites the head, which only succeeds at its present version.
func (r *publishRun) confirm(ctx context.Context, b basis) (bool, error) {
	_, err := retry(ctx, func() (struct{}, error) {
		return struct{}{}, r.publisher.fence(ctx, b.head)
	})
	var conflict *kv.ConflictError
	if errors.As(err, &conflict) {
		r.result.Unchanged = false
		return false, nil
	}
	if err != nil {
		return true, r.lost(err)
	}
	return true, nil
}

// readBasis reads what is in force, trying again while the store fails.
func (r *publishRun) readBasis(ctx context.Context) (basis, error) {
	return retry(ctx, func() (basis, error) {
		h, err := readHead(ctx, r.store)
		if err != nil {
			return basis{}, err
		}
		s, err := loadState(ctx, r.store, h.head, nil)
		if err != nil {
			return basis{}, err
		}
		b := basis{head: h, state: s}
		r.goOnFromVMs(ctx, &b)
		return b, nil
	})
}

// goOnFromVMs replaces the state by the highest that an entry VM has in force, if that is higher.
func (r *publishRun) goOnFromVMs(ctx context.Context, b *basis) {
	if r.publisher.options.HighestInForce == nil {
		return
	}
	c, err := r.publisher.options.HighestInForce(ctx)
	if err != nil || c == nil || c.Revision <= b.head.Revision {
		return
	}
	s, err := newState(c)
	if err != nil {
		return
	}
	behind := b.head.Revision
	r.result.StoreWasBehind = &behind
	b.state, b.behind = s, true
}

// changes returns what this publication changes of b.
func (r *publishRun) changes(b basis) (*delta, error) {
	d, err := r.tree.merge(b.state)
	if err != nil {
		return nil, &NotAcceptedError{Cause: err}
	}
	if r.mine == nil {
		r.mine = d
		r.base = r.options.Base
		if r.base == 0 {
			r.base = b.state.configuration.Revision
		}
	} else if !r.mine.empty() {
		d.restrict(r.mine)
	}
	if err := r.tree.checkOn(d, b.state); err != nil {
		return nil, err
	}
	if err := d.conflict(b.state, r.base); err != nil {
		return nil, err
	}
	if r.result.Difference, err = r.difference(b.state, d); err != nil {
		return nil, &NotAcceptedError{Cause: err}
	}
	return d, nil
}

func (r *publishRun) difference(s *state, d *delta) (*Difference, error) {
	next, err := s.change(d)
	if err != nil {
		return nil, err
	}
	return Diff(s.configuration, next.configuration), nil
}

// lost is the error of a publication that could not go on: not accepted if no try may have taken
// effect, else unknown.
func (r *publishRun) lost(cause error) error {
	if len(r.tried) == 0 {
		return &NotAcceptedError{Cause: cause}
	}
	return &OutcomeUnknownError{Publication: r.tried[len(r.tried)-1].id(), Cause: cause}
}

// accepted reports whether a try of this run is in h, and sets the result then.
func (r *publishRun) accepted(h *head) bool {
	for _, tried := range r.tried {
		for _, id := range h.publications() {
			if id == tried.id() {
				r.result.Revision, r.result.Publication = tried.revision, id
				return true
			}
		}
	}
	return false
}

// retry calls fn until it succeeds, fails with something that is no failure of the store, or ctx
// ends; it then returns the last error.
func retry[T any](ctx context.Context, fn func() (T, error)) (T, error) {
	waits := newWaits()
	for {
		value, err := fn()
		if err == nil || !transient(err) || ctx.Err() != nil {
			return value, err
		}
		_ = clock.Sleep(ctx, waits.NextBackOff())
	}
}

// transient reports whether a call may succeed if it is made again. A key that a head names may be
// missing because a later publication removed it after the head was read.
func transient(err error) bool {
	var unavailable *kv.UnavailableError
	var unknown *kv.EffectUnknownError
	var missing *kv.NotFoundError
	return errors.As(err, &unavailable) || errors.As(err, &unknown) || errors.As(err, &missing)
}
