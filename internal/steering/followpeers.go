package steering

import (
	"context"
	"errors"

	"github.com/azureflow/azureflow/internal/peer"
)

// NotHigherError reports an offer that is not above the revision in force.
type NotHigherError struct{ Offered, InForce Revision }

// Error implements error.
func (e *NotHigherError) Error() string { return "offered revision is not above the one in force" }

// NoPeerError reports that no peer answered; FetchFromPeers returns it, so that the store is read.
type NoPeerError struct{ Cause error }

// Error implements error.
func (e *NoPeerError) Error() string {
	if e.Cause == nil {
		return "no peer is known"
	}
	return "no peer answered: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *NoPeerError) Unwrap() error { return e.Cause }

// FetchRevision answers a peer. It has the signature of peer.DRPCPeerServer.
func (f *Follower) FetchRevision(_ context.Context, r *peer.FetchRevisionRequest) (*peer.FetchRevisionReply, error) {
	s := f.inForce.Load()
	if s == nil || uint64(s.configuration.Revision) <= r.GetAbove() {
		return &peer.FetchRevisionReply{}, nil
	}
	data, err := s.above(Revision(r.GetAbove()))
	if err != nil {
		return nil, err
	}
	return &peer.FetchRevisionReply{Revision: uint64(s.configuration.Revision), Configuration: data}, nil
}

// followPeers asks the peers whenever one is known to be ahead, and now and then while this VM does
// not follow the store.
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
		case <-f.notice:
			f.fetchFromPeers(ctx)
		case <-ticks:
			if !f.options.WatchStore() {
				f.fetchFromPeers(ctx)
			}
		}
	}
}

// fetchFromPeers takes up the highest revision that peers have.
func (f *Follower) fetchFromPeers(ctx context.Context) {
	if f.options.FetchFromPeers == nil || ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, defaultPeerTimeout)
	defer cancel()
	err := f.fetchAbove(ctx, f.Revision())
	if isEncoding(err) {
		// The deltas of a peer may not follow what is in force here: ask for the whole.
		err = f.fetchAbove(ctx, 0)
	}
	if isEncoding(err) {
		f.noteUnreadable(0, err)
	}
}

func (f *Follower) fetchAbove(ctx context.Context, above Revision) error {
	data, revision, err := f.options.FetchFromPeers(ctx, above)
	if err != nil {
		return err
	}
	f.notePeers()
	if revision <= f.Revision() || len(data) == 0 {
		return nil
	}
	var lower *NotHigherError
	if err := f.Offer(ctx, data); !errors.As(err, &lower) {
		return err
	}
	return nil
}

// Offer takes up a configuration in the form that FetchRevision answers, if it is above the one in
// force. Errors: *NotHigherError, *EncodingError.
func (f *Follower) Offer(_ context.Context, encoded []byte) error {
	s, err := f.stateOf(encoded)
	if err != nil {
		return err
	}
	if !f.take(s, SourcePeer) {
		return &NotHigherError{Offered: s.configuration.Revision, InForce: f.Revision()}
	}
	return nil
}

func (f *Follower) stateOf(encoded []byte) (*state, error) {
	if kindOf(encoded) == magicDeltas {
		return f.stateOfDeltas(encoded)
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

// stateOfDeltas applies deltas to what is in force; those that are in force already are passed over.
func (f *Follower) stateOfDeltas(encoded []byte) (*state, error) {
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

func isEncoding(err error) bool {
	var e *EncodingError
	return errors.As(err, &e)
}
