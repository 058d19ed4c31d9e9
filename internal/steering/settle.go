package steering

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/azureflow/azureflow/internal/kv"
)

// verdict is what the store says of a publication.
type verdict uint8

const (
	verdictOpen     verdict = iota // its write may still take effect
	verdictAccepted                // it took effect
	verdictRefused                 // it did not and never will
)

// StaleReadError reports that the store answered with an older head than it held before.
type StaleReadError struct{ Expected kv.Version }

// Error implements error.
func (e *StaleReadError) Error() string {
	return fmt.Sprintf("the store answers with a head older than version %d", e.Expected)
}

// PublicationTooOldError reports a publication so old that the store no longer tells what became of it.
type PublicationTooOldError struct{ Publication PublicationID }

// Error implements error.
func (e *PublicationTooOldError) Error() string {
	return "publication " + string(e.Publication) + " is too old to be settled"
}

// Settlement is what became of a publication for good.
type Settlement struct {
	Publication PublicationID `json:"publication"`
	Accepted    bool          `json:"accepted"`
	Revision    Revision      `json:"revision"` // that the publication made, or the one in force instead
}

// Settle finds out what became of a publication whose outcome was unknown. If its write may still be
// on the way, Settle rewrites the head unchanged, so that the write can no longer take effect.
// Errors: *PublicationIDError, *PublicationTooOldError, *OutcomeUnknownError while the store does not answer.
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
		verdict, err := p.judge(ctx, h, of)
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

// look reads the head and judges a publication.
func (p *Publisher) look(ctx context.Context, of publication) (verdict, error) {
	return retry(ctx, func() (verdict, error) {
		h, err := readHead(ctx, p.options.Store)
		if err != nil {
			return verdictOpen, err
		}
		v, err := p.judge(ctx, h, of)
		if err == nil && v == verdictOpen {
			return v, &kv.UnavailableError{Op: "settle", Cause: &StaleReadError{Expected: of.replaces}}
		}
		return v, err
	})
}

// judge says what h shows of a publication. Each write of the head expects the version before it: once
// the head is beyond the version that the publication replaces, its write can take effect no more.
func (p *Publisher) judge(ctx context.Context, h headAt, of publication) (verdict, error) {
	if h.version <= of.replaces {
		return verdictOpen, nil
	}
	if slices.Contains(h.publications(), of.id()) {
		return verdictAccepted, nil
	}
	if h.Revision < of.revision || oldest(h.publications()) <= of.revision {
		return verdictRefused, nil
	}
	before, err := loadHistory(ctx, p.options.Store, h.head)
	if err != nil {
		return verdictOpen, err
	}
	switch {
	case slices.Contains(before, of.id()):
		return verdictAccepted, nil
	case len(before) < maxHistory || oldest(before) <= of.revision:
		return verdictRefused, nil
	}
	return verdictOpen, &PublicationTooOldError{Publication: of.id()}
}

// oldest returns the revision of the first of ids, or 0.
func oldest(ids []PublicationID) Revision {
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
func (p *Publisher) fence(ctx context.Context, h headAt) error {
	next := *h.head
	next.Fenced++
	value, err := encodeHead(&next)
	if err != nil {
		return err
	}
	_, err = p.options.Store.CompareAndSwap(ctx, HeadKey, h.version, value, 0)
	return err
}
