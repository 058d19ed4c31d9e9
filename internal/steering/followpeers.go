package steering

import (
	"context"
	"errors"
	"fmt"

	"github.com/azureflow/azureflow/internal/peer"
)

// NotHigherError reports an offer that is not above the revision in force.
type NotHigherError struct{ Offered, InForce Revision }

// Error implements error.
func (e *NotHigherError) Error() string {
	return fmt.Sprintf("offered revision %d is not above revision %d, which is in force", e.Offered, e.InForce)
}

// NoPeerError reports that no peer responded; FetchFromPeers returns it, so that the store is read.
type NoPeerError struct{ Cause error }

// Error implements error.
func (e *NoPeerError) Error() string {
	if e.Cause == nil {
		return "no peer is known"
	}
	return "no peer responded: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *NoPeerError) Unwrap() error { return e.Cause }

// FetchRevision serves the request of a peer. It has the signature of peer.DRPCPeerServer.
func (f *Follower) FetchRevision(_ context.Context, r *peer.FetchRevisionRequest) (*peer.FetchRevisionReply, error) {
	s := f.inForce.Load()
	if s == nil || uint64(s.configuration.Revision) <= r.GetAbove() {
		return &peer.FetchRevisionReply{}, nil
	}
	data, err := s.encodeSince(Revision(r.GetAbove()))
	if err != nil {
		return nil, err
	}
	return &peer.FetchRevisionReply{Revision: uint64(s.configuration.Revision), Configuration: data}, nil
}

// followPeers queries the peers whenever a peer has reported a higher revision, and periodically while
// this VM does not follow the store.
func (f *Follower) followPeers(ctx context.Context) {
	ticks := make(chan struct{}, 1)
	go func() {
		for pause(ctx, f.interval(f.options.PeerPoll)) {
			select {
			case ticks <- struct{}{}:
			default:
			}
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
			f.fetchFromPeers(ctx)
		case <-ticks:
			if !f.options.WatchStore() {
				f.fetchFromPeers(ctx)
			}
		}
	}
}

// fetchFromPeers applies the highest revision that peers have.
func (f *Follower) fetchFromPeers(ctx context.Context) {
	if f.options.FetchFromPeers == nil || ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, defaultPeerTimeout)
	defer cancel()
	err := f.fetchAbove(ctx, f.Revision())
	if isEncodingError(err) {
		// The deltas of a peer may not follow the revision in force here: fetch the full configuration.
		err = f.fetchAbove(ctx, 0)
	}
	if isEncodingError(err) {
		f.reportUnreadable(0, err)
	}
}

func (f *Follower) fetchAbove(ctx context.Context, above Revision) error {
	data, revision, err := f.options.FetchFromPeers(ctx, above)
	if err != nil {
		return err
	}
	f.recordPeerContact()
	if revision <= f.Revision() || len(data) == 0 {
		return nil
	}
	var notHigher *NotHigherError
	if err := f.Offer(ctx, data); !errors.As(err, &notHigher) {
		return err
	}
	return nil
}

// Offer applies a configuration in the form that FetchRevision returns, if its revision is above the
// one in force. Errors: *NotHigherError, *EncodingError.
func (f *Follower) Offer(_ context.Context, encoded []byte) error {
	s, err := f.decodeState(encoded)
	if err != nil {
		return err
	}
	if !f.apply(s, SourcePeer) {
		return &NotHigherError{Offered: s.configuration.Revision, InForce: f.Revision()}
	}
	return nil
}

func (f *Follower) decodeState(encoded []byte) (*state, error) {
	if kindOf(encoded) == magicDeltas {
		return f.applyDeltas(encoded)
	}
	c, err := Decode(encoded)
	if err != nil {
		return nil, err
	}
	if _, err := parsePublication(c.Publication); err != nil {
		return nil, &EncodingError{Fault: FaultContent, Cause: err}
	}
	return newState(c)
}

// applyDeltas applies deltas to the state in force and skips those that are in force already.
func (f *Follower) applyDeltas(encoded []byte) (*state, error) {
	s := f.inForce.Load()
	if s == nil {
		return nil, &EncodingError{Fault: FaultChain}
	}
	var list deltaList
	if err := decode(magicDeltas, encoded, maxDecodedBytes, &list); err != nil {
		return nil, err
	}
	for _, data := range list.Deltas {
		d, err := decodeDelta(data)
		if err != nil {
			return nil, err
		}
		if d.Revision <= s.configuration.Revision {
			continue
		}
		if s, err = s.apply(d, data); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func isEncodingError(err error) bool {
	var e *EncodingError
	return errors.As(err, &e)
}
