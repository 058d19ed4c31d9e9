package steering

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/azureflow/azureflow/internal/kv"
)

// verdict is the outcome of a publication according to the store.
type verdict uint8

const (
	verdictPending  verdict = iota // its write may still take effect
	verdictAccepted                // it took effect
	verdictRefused                 // it did not and never will
)

// StaleReadError reports that the store returned an older head than it held before.
type StaleReadError struct{ Expected kv.Version }

// Error implements error.
func (e *StaleReadError) Error() string {
	return fmt.Sprintf("the store returned a head older than version %d", e.Expected)
}

// PublicationTooOldError reports a publication so old that the store no longer retains its outcome.
type PublicationTooOldError struct{ Publication PublicationID }

// Error implements error.
func (e *PublicationTooOldError) Error() string {
	return "publication " + string(e.Publication) + " is too old to be settled"
}

// Settlement is the final outcome of a publication.
type Settlement struct {
	Publication PublicationID `json:"publication"`
	Accepted    bool          `json:"accepted"`
	Revision    Revision      `json:"revision"` // that the publication made, or the one in force instead
}

// Settle determines the outcome of a publication whose outcome was unknown. If its write may still be
// in flight, Settle rewrites the head unchanged, so that the write can no longer take effect.
// Errors: *PublicationIDError, *PublicationTooOldError, *OutcomeUnknownError while the store does not respond.
func (p *Publisher) Settle(ctx context.Context, id PublicationID) (Settlement, error) {
	ctx, cancel := context.WithTimeout(ctx, p.options.Timeout)
	defer cancel()
	parts, err := parsePublication(id)
	if err != nil {
		return Settlement{}, err
	}
	settlement, err := retry(ctx, func() (Settlement, error) { return p.settle(ctx, parts) })
	var forgotten *PublicationTooOldError
	if err != nil && !errors.As(err, &forgotten) {
		return Settlement{}, &OutcomeUnknownError{Publication: id, Cause: err}
	}
	return settlement, err
}

func (p *Publisher) settle(ctx context.Context, of publication) (Settlement, error) {
	for {
		h, err := readHead(ctx, p.options.Store)
		if err != nil {
			return Settlement{}, err
		}
		verdict, err := p.verdictOf(ctx, h, of)
		if err != nil {
			return Settlement{}, err
		}
		switch verdict {
		case verdictAccepted:
			return Settlement{of.id(), true, of.revision}, nil
		case verdictRefused:
			return Settlement{of.id(), false, h.Revision}, nil
		}
		if h.version < of.replaces {
			return Settlement{}, &kv.UnavailableError{Op: "settle", Cause: &StaleReadError{Expected: of.replaces}}
		}
		err = p.fence(ctx, h)
		var conflict *kv.ConflictError
		if err != nil && !errors.As(err, &conflict) {
			return Settlement{}, err
		}
	}
}

// readVerdict reads the head and returns the outcome of a publication.
func (p *Publisher) readVerdict(ctx context.Context, of publication) (verdict, error) {
	return retry(ctx, func() (verdict, error) {
		h, err := readHead(ctx, p.options.Store)
		if err != nil {
			return verdictPending, err
		}
		v, err := p.verdictOf(ctx, h, of)
		if err == nil && v == verdictPending {
			return v, &kv.UnavailableError{Op: "settle", Cause: &StaleReadError{Expected: of.replaces}}
		}
		return v, err
	})
}

// verdictOf returns the outcome of a publication according to h. Each write of the head expects the
// version before it: once the head is beyond the version that the publication replaces, its write can no
// longer take effect.
func (p *Publisher) verdictOf(ctx context.Context, h storedHead, of publication) (verdict, error) {
	if h.version <= of.replaces {
		return verdictPending, nil
	}
	if slices.Contains(h.publications(), of.id()) {
		return verdictAccepted, nil
	}
	if h.Revision < of.revision || oldestRevision(h.publications()) <= of.revision {
		return verdictRefused, nil
	}
	before, err := loadHistory(ctx, p.options.Store, h.head)
	if err != nil {
		return verdictPending, err
	}
	switch {
	case slices.Contains(before, of.id()):
		return verdictAccepted, nil
	case len(before) < maxHistory || oldestRevision(before) <= of.revision:
		return verdictRefused, nil
	}
	return verdictPending, &PublicationTooOldError{Publication: of.id()}
}

// oldestRevision returns the revision of the first of ids, or 0.
func oldestRevision(ids []PublicationID) Revision {
	if len(ids) == 0 {
		return 0
	}
	first, err := parsePublication(ids[0])
	if err != nil {
		return 0
	}
	return first.revision
}

// fence rewrites the head with the same content at a new version. *kv.ConflictError: it was at
// another version by then.
func (p *Publisher) fence(ctx context.Context, h storedHead) error {
	next := *h.head
	next.Fenced++
	value, err := encodeHead(&next)
	if err != nil {
		return err
	}
	_, err = p.options.Store.CompareAndSwap(ctx, HeadKey, h.version, value, 0)
	return err
}
