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
	cleanupTimeout        = 3 * time.Second
)

// PublisherOptions configure a Publisher. Only Store has no default.
type PublisherOptions struct {
	Store kv.Store
	// Timeout bounds a publication, settling included; default 15 s.
	Timeout time.Duration
	// HighestInForce returns the highest configuration that an entry VM has in force, or nil. With it
	// a publication is based on that configuration if the store was reset to an earlier one. By default
	// entry VMs are not queried.
	HighestInForce func(ctx context.Context) (*Configuration, error)
	// NewRandom returns 16 hexadecimal digits that no other publication has.
	NewRandom func() string
}

// Publisher publishes configurations to the store. It keeps no state between calls.
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
	// publication starts. A part that others changed since gives a *ConflictError.
	Base Revision
	// DryRun computes the difference and writes nothing.
	DryRun bool
}

// PublishResult is the result of a publication.
type PublishResult struct {
	Revision    Revision      // in force in the store
	Publication PublicationID // empty if nothing was published
	PublishedAt time.Time
	// Unchanged: the files match the configuration in force, and nothing was published.
	Unchanged bool
	// StoreWasBehind is the revision of the store's head if it was below the highest in force.
	StoreWasBehind *Revision
	Rebased        int         // times that another publication came first
	Difference     *Difference // to what was in force
}

// Publish puts the content of tree in force. Errors: *FaultsError (files do not match the configuration
// in force), *ConflictError (another publication of the same service came first), *NotAcceptedError,
// and *OutcomeUnknownError, which Settle resolves.
func (p *Publisher) Publish(ctx context.Context, tree *Tree, o PublishOptions) (PublishResult, error) {
	ctx, cancel := context.WithTimeout(ctx, p.options.Timeout)
	defer cancel()
	run := &publishRun{publisher: p, store: p.options.Store, tree: tree, options: o}
	return run.publish(ctx)
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

// publishRun is one publication with all its attempts.
type publishRun struct {
	publisher *Publisher
	store     kv.Store
	tree      *Tree
	options   PublishOptions

	base       Revision
	ownChanges *delta // changes of the first attempt
	unsettled  []publication
	result     PublishResult
}

// basis is the state that one attempt is based on.
type basis struct {
	head  storedHead
	state *state
	// storeBehind: the store's head is below state, which came from an entry VM.
	storeBehind bool
}

func (r *publishRun) publish(ctx context.Context) (PublishResult, error) {
	waits := newBackoff()
	for r.result.Rebased < maxRebases {
		done, err := r.attempt(ctx)
		if done || err != nil {
			return r.result, err
		}
		if r.result.Rebased++; r.result.Rebased > 1 {
			_ = clock.Sleep(ctx, waits.NextBackOff())
		}
	}
	return r.result, &NotAcceptedError{Cause: &BusyError{Attempts: maxRebases}}
}

// attempt makes one attempt and reports whether the publication ended.
func (r *publishRun) attempt(ctx context.Context) (bool, error) {
	b, err := r.readBasis(ctx)
	if err != nil {
		return true, r.wrapFailure(err)
	}
	if r.recordIfAccepted(b.head.head) {
		return true, nil
	}
	d, err := r.changes(b)
	if err != nil {
		return true, err
	}
	unchanged := d.isEmpty() && !b.storeBehind
	if r.options.DryRun || unchanged {
		r.result.Revision = b.state.configuration.Revision
		r.result.Unchanged = unchanged
	}
	switch {
	case r.options.DryRun:
		return true, nil
	case unchanged:
		return r.confirmUnchanged(ctx, b)
	}
	return r.write(ctx, b, d)
}

// confirmUnchanged verifies that the head was not a stale read before the result reports that nothing
// changed: it rewrites the head, which succeeds only at its current version.
func (r *publishRun) confirmUnchanged(ctx context.Context, b basis) (bool, error) {
	_, err := retry(ctx, func() (struct{}, error) {
		return struct{}{}, r.publisher.fence(ctx, b.head)
	})
	var conflict *kv.ConflictError
	if errors.As(err, &conflict) {
		r.result.Unchanged = false
		return false, nil
	}
	if err != nil {
		return true, r.wrapFailure(err)
	}
	return true, nil
}

// readBasis reads the state in force and retries while the store fails.
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
		r.adoptHigherVMState(ctx, &b)
		return b, nil
	})
}

// adoptHigherVMState replaces the state by the highest that an entry VM has in force, if that is higher.
func (r *publishRun) adoptHigherVMState(ctx context.Context, b *basis) {
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
	b.state, b.storeBehind = s, true
}

// changes returns what this publication changes of b.
func (r *publishRun) changes(b basis) (*delta, error) {
	d, err := r.tree.merge(b.state)
	if err != nil {
		return nil, &NotAcceptedError{Cause: err}
	}
	if r.ownChanges == nil {
		r.ownChanges = d
		r.base = r.options.Base
		if r.base == 0 {
			r.base = b.state.configuration.Revision
		}
	} else if !r.ownChanges.isEmpty() {
		d.restrictTo(r.ownChanges)
	}
	if err := r.tree.checkInForce(d, b.state); err != nil {
		return nil, err
	}
	if err := d.checkConflict(b.state, r.base); err != nil {
		return nil, err
	}
	if r.result.Difference, err = r.difference(b.state, d); err != nil {
		return nil, &NotAcceptedError{Cause: err}
	}
	return d, nil
}

func (r *publishRun) difference(s *state, d *delta) (*Difference, error) {
	next, err := s.withChanges(d)
	if err != nil {
		return nil, err
	}
	return Diff(s.configuration, next.configuration), nil
}

// wrapFailure returns the error of a publication that failed: *NotAcceptedError if no attempt can have
// taken effect, else *OutcomeUnknownError.
func (r *publishRun) wrapFailure(cause error) error {
	if len(r.unsettled) == 0 {
		return &NotAcceptedError{Cause: cause}
	}
	return &OutcomeUnknownError{Publication: r.unsettled[len(r.unsettled)-1].id(), Cause: cause}
}

// recordIfAccepted reports whether h contains an attempt of this run, and sets the result if it does.
func (r *publishRun) recordIfAccepted(h *head) bool {
	for _, tried := range r.unsettled {
		for _, id := range h.publications() {
			if id == tried.id() {
				r.result.Revision, r.result.Publication = tried.revision, id
				return true
			}
		}
	}
	return false
}

// retry calls fn until it succeeds, fails with an error that is not transient, or ctx
// ends; it then returns the last error.
func retry[T any](ctx context.Context, fn func() (T, error)) (T, error) {
	waits := newBackoff()
	for {
		value, err := fn()
		if err == nil || !isTransient(err) || ctx.Err() != nil {
			return value, err
		}
		_ = clock.Sleep(ctx, waits.NextBackOff())
	}
}

// isTransient reports whether a call may succeed if it is retried. A key that a head refers to may be
// missing because a later publication removed it after the head was read.
func isTransient(err error) bool {
	var unavailable *kv.UnavailableError
	var unknown *kv.EffectUnknownError
	var missing *kv.NotFoundError
	return errors.As(err, &unavailable) || errors.As(err, &unknown) || errors.As(err, &missing)
}
