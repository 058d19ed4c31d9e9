package request

import (
	"context"
	"strconv"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

const (
	// previousNone is the value of HeaderPrevious with which a caller declares that it never sent the key before.
	previousNone = "none"
	// ownersPerKey is the number of entry VMs that store the claims of a key.
	ownersPerKey = 2
	// maxPrevious is the maximum number of entry VMs that a promise is requested from.
	maxPrevious = 8
)

// previousEntry is an entry VM to which a key may have been sent.
type previousEntry struct {
	name        vm.Name
	incarnation vm.Incarnation
}

func entryName(name vm.Name, incarnation vm.Incarnation) string {
	return string(name) + "/" + strconv.FormatUint(uint64(incarnation), 10)
}

// parsePrevious parses a comma-separated list of NAME/INCARNATION.
func parsePrevious(text string) ([]previousEntry, error) {
	parts := strings.Split(text, ",")
	if len(parts) > maxPrevious {
		return nil, &HeaderError{Header: HeaderPrevious, Value: text}
	}
	entries := make([]previousEntry, 0, len(parts))
	for _, part := range parts {
		name, number, ok := strings.Cut(strings.TrimSpace(part), "/")
		incarnation, err := strconv.ParseUint(number, 10, 64)
		if !ok || err != nil || name == "" {
			return nil, &HeaderError{Header: HeaderPrevious, Value: text}
		}
		entries = append(entries, previousEntry{vm.Name(name), vm.Incarnation(incarnation)})
	}
	return entries, nil
}

// checkKey makes sure that no other submission of a non-idempotent request has run or will run. Only then may a refusal
// report not-run, so it is called before admission. Requests without a key cannot be told apart.
func (x *exchange) checkKey() error {
	key := x.r.Header.Get(HeaderIdempotency)
	if x.route.operation.Idempotent || key == "" {
		return nil
	}
	previous, err := x.previousEntries()
	if err != nil {
		return err
	}
	if v := x.h.opts.Journal.PrepareKey(x.route.service.Name, key); v != KeyPrepared {
		return &KeyError{Key: key, Verdict: v, Entry: x.h.opts.Self.Name}
	}
	x.key = key
	if previous == nil && x.r.Header.Get(HeaderPrevious) != previousNone {
		previous, err = x.claimKey()
	}
	if err == nil {
		err = x.requestPromises(previous)
	}
	if err != nil {
		x.h.opts.Journal.Release(x.route.service.Name, key)
	}
	return err
}

func (x *exchange) previousEntries() ([]previousEntry, error) {
	text := x.r.Header.Get(HeaderPrevious)
	if text == "" || text == previousNone {
		return nil, nil
	}
	return parsePrevious(text)
}

// requestPromises requests promises from all entries concurrently. If any of them does not promise, the error is a
// *KeyError.
func (x *exchange) requestPromises(entries []previousEntry) error {
	if len(entries) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(x.ctx, x.h.opts.PeerTimeout)
	defer cancel()
	verdicts := make([]KeyVerdict, len(entries))
	var wait sync.WaitGroup
	for i := range entries {
		wait.Go(func() { verdicts[i] = x.requestPromise(ctx, entries[i]) })
	}
	wait.Wait()
	for i, v := range verdicts {
		if v != KeyPromised {
			return &KeyError{Key: x.key, Verdict: v, Entry: entries[i].name}
		}
	}
	return nil
}

func (x *exchange) requestPromise(ctx context.Context, e previousEntry) KeyVerdict {
	self := &x.h.opts.Self
	if e.name == self.Name && e.incarnation == self.Incarnation {
		return KeyPromised // the journal of this entry VM already prepared the key for this request
	}
	if e.name == self.Name || x.h.opts.Peers == nil {
		return KeyUnknown
	}
	reply, err := x.h.opts.Peers.PromiseNotSent(ctx, e.name, &peer.PromiseRequest{
		Service:     string(x.route.service.Name),
		Key:         x.key,
		Asker:       string(self.Name),
		Incarnation: uint64(e.incarnation),
	})
	if err != nil || reply.Incarnation != uint64(e.incarnation) {
		return KeyUnknown
	}
	return promiseVerdict(reply.Verdict)
}

func promiseVerdict(v peer.PromiseReply_Verdict) KeyVerdict {
	switch v {
	case peer.PromiseReply_NOT_SENT:
		return KeyPromised
	case peer.PromiseReply_SENT:
		return KeySent
	case peer.PromiseReply_ANSWERED:
		return KeyAnswered
	default:
		return KeyUnknown
	}
}

// claimKey claims the key at its owner entry VMs and returns the entry VMs that claimed it before. The error is a
// *KeyError if an owner does not respond or no owner has all claims.
func (x *exchange) claimKey() ([]previousEntry, error) {
	owners := x.owners()
	replies := make([]*peer.ClaimReply, len(owners))
	ctx, cancel := context.WithTimeout(x.ctx, x.h.opts.PeerTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for i := range owners {
		wait.Go(func() { replies[i] = x.claimAt(ctx, owners[i]) })
	}
	wait.Wait()
	for i, reply := range replies {
		if reply == nil {
			return nil, &KeyError{Key: x.key, Verdict: KeyUnknown, Entry: owners[i]}
		}
	}
	return x.mergeClaims(replies)
}

func (x *exchange) claimAt(ctx context.Context, owner vm.Name) *peer.ClaimReply {
	self := &x.h.opts.Self
	req := &peer.ClaimRequest{
		Service:     string(x.route.service.Name),
		Key:         x.key,
		Holder:      string(self.Name),
		Incarnation: uint64(self.Incarnation),
	}
	var reply *peer.ClaimReply
	var err error
	if owner == self.Name {
		reply, err = x.h.opts.Journal.ClaimKey(ctx, req)
	} else {
		reply, err = x.h.opts.Peers.ClaimKey(ctx, owner, req)
	}
	if err != nil {
		return nil
	}
	return reply
}

// mergeClaims merges the replies of the owners: one conclusive reply is enough, and the result has the
// holders of all replies.
func (x *exchange) mergeClaims(replies []*peer.ClaimReply) ([]previousEntry, error) {
	var earlier []previousEntry
	conclusive := false
	for _, reply := range replies {
		conclusive = conclusive || reply.Verdict != peer.ClaimReply_UNKNOWN
		if reply.Holder == "" {
			continue
		}
		holders, err := parsePrevious(reply.Holder)
		if err != nil {
			return nil, &KeyError{Key: x.key, Verdict: KeyUnknown}
		}
		earlier = append(earlier, holders...)
	}
	if !conclusive {
		return nil, &KeyError{Key: x.key, Verdict: KeyUnknown}
	}
	return earlier, nil
}

// owners returns the owner entry VMs of the key: the first by rendezvous hash among those of the origin.
func (x *exchange) owners() []vm.Name {
	if x.h.opts.Peers == nil {
		return []vm.Name{x.h.opts.Self.Name}
	}
	names := x.h.opts.Peers.EntryVMs(x.origin)
	if len(names) == 0 {
		names = []vm.Name{x.h.opts.Self.Name}
	}
	return ownersOf(x.route.service.Name, x.key, names)
}

// ownersOf returns the ownersPerKey names with the highest rendezvous hash of the key.
func ownersOf(service steering.ServiceName, key string, names []vm.Name) []vm.Name {
	var best [ownersPerKey]vm.Name
	var scores [ownersPerKey]uint64
	for _, name := range names {
		candidate, score := name, ownerScore(service, key, name)
		for i := range best {
			if best[i] == "" || score > scores[i] {
				best[i], candidate = candidate, best[i]
				scores[i], score = score, scores[i]
			}
			if candidate == "" {
				break
			}
		}
	}
	if best[1] == "" {
		return best[:1]
	}
	return best[:]
}

func ownerScore(service steering.ServiceName, key string, name vm.Name) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(name))
	_, _ = d.WriteString("\x00" + string(service))
	_, _ = d.WriteString("\x00" + key)
	return d.Sum64()
}
