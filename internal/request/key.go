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
	// previousNone is the value of HeaderPrevious by which a caller says that it never sent the key.
	previousNone = "none"
	// homesPerKey is how many entry VMs remember the claim of a key.
	homesPerKey = 2
	// maxPrevious bounds the entry VMs asked for a promise.
	maxPrevious = 8
)

// previousEntry is an entry VM that may have been sent a key.
type previousEntry struct {
	name        vm.Name
	incarnation vm.Incarnation
}

func entryName(name vm.Name, incarnation vm.Incarnation) string {
	return string(name) + "/" + strconv.FormatUint(uint64(incarnation), 10)
}

// parsePrevious reads a comma-separated list of NAME/INCARNATION.
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

// checkKey makes sure that a non-idempotent request has run nowhere else and will not. Only then may a
// refusal say not-run, so that it goes before admission. Requests without a key cannot be told apart.
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
		previous, err = x.claim()
	}
	if err == nil {
		err = x.askPromises(previous)
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

// askPromises asks all of entries at once. Any that does not promise is a *KeyError.
func (x *exchange) askPromises(entries []previousEntry) error {
	if len(entries) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(x.ctx, x.h.opts.PeerTimeout)
	defer cancel()
	verdicts := make([]KeyVerdict, len(entries))
	var wait sync.WaitGroup
	for i := range entries {
		wait.Go(func() { verdicts[i] = x.askPromise(ctx, entries[i]) })
	}
	wait.Wait()
	for i, v := range verdicts {
		if v != KeyPromised {
			return &KeyError{Key: x.key, Verdict: v, Entry: entries[i].name}
		}
	}
	return nil
}

func (x *exchange) askPromise(ctx context.Context, e previousEntry) KeyVerdict {
	self := &x.h.opts.Self
	if e.name == self.Name && e.incarnation == self.Incarnation {
		return KeyPromised // the journal let this request begin
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

// claim claims the key at its home entry VMs and returns the entry VMs that claimed it before. It is a
// *KeyError if a home does not answer or none knows enough.
func (x *exchange) claim() ([]previousEntry, error) {
	homes := x.homes()
	replies := make([]*peer.ClaimReply, len(homes))
	ctx, cancel := context.WithTimeout(x.ctx, x.h.opts.PeerTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for i := range homes {
		wait.Go(func() { replies[i] = x.claimAt(ctx, homes[i]) })
	}
	wait.Wait()
	for i, reply := range replies {
		if reply == nil {
			return nil, &KeyError{Key: x.key, Verdict: KeyUnknown, Entry: homes[i]}
		}
	}
	return x.judgeClaims(replies)
}

func (x *exchange) claimAt(ctx context.Context, home vm.Name) *peer.ClaimReply {
	self := &x.h.opts.Self
	req := &peer.ClaimRequest{
		Service:     string(x.route.service.Name),
		Key:         x.key,
		Holder:      string(self.Name),
		Incarnation: uint64(self.Incarnation),
	}
	var reply *peer.ClaimReply
	var err error
	if home == self.Name {
		reply, err = x.h.opts.Journal.ClaimKey(ctx, req)
	} else {
		reply, err = x.h.opts.Peers.ClaimKey(ctx, home, req)
	}
	if err != nil {
		return nil
	}
	return reply
}

// judgeClaims joins the answers of the homes: one that knows is enough, and whoever any names is asked.
func (x *exchange) judgeClaims(replies []*peer.ClaimReply) ([]previousEntry, error) {
	var earlier []previousEntry
	known := false
	for _, reply := range replies {
		known = known || reply.Verdict != peer.ClaimReply_UNKNOWN
		if reply.Holder == "" {
			continue
		}
		holders, err := parsePrevious(reply.Holder)
		if err != nil {
			return nil, &KeyError{Key: x.key, Verdict: KeyUnknown}
		}
		earlier = append(earlier, holders...)
	}
	if !known {
		return nil, &KeyError{Key: x.key, Verdict: KeyUnknown}
	}
	return earlier, nil
}

// homes returns the home entry VMs of the key: the first by rendezvous hash among the origin's.
func (x *exchange) homes() []vm.Name {
	if x.h.opts.Peers == nil {
		return []vm.Name{x.h.opts.Self.Name}
	}
	names := x.h.opts.Peers.EntryVMs(x.origin)
	if len(names) == 0 {
		names = []vm.Name{x.h.opts.Self.Name}
	}
	return homesOf(x.route.service.Name, x.key, names)
}

// homesOf returns the homesPerKey names that hash highest with the key.
func homesOf(service steering.ServiceName, key string, names []vm.Name) []vm.Name {
	var best [homesPerKey]vm.Name
	var scores [homesPerKey]uint64
	for _, name := range names {
		candidate, score := name, homeScore(service, key, name)
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

func homeScore(service steering.ServiceName, key string, name vm.Name) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(name))
	_, _ = d.WriteString("\x00" + string(service))
	_, _ = d.WriteString("\x00" + key)
	return d.Sum64()
}
