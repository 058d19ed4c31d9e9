package request

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// Defaults of JournalOptions.
const (
	defaultJournalAge  = 2 * time.Minute
	defaultJournalKeys = 100_000
	defaultPastAge     = 30 * time.Minute
	defaultPastKeys    = 250_000
	defaultClaimAge    = 30 * time.Second
)

// KeyVerdict is what a journal knows about an idempotency key.
type KeyVerdict uint8

// The verdicts on a key.
const (
	KeyUnknown  KeyVerdict = iota // the journal cannot tell
	KeyFree                       // not sent by this entry VM
	KeyPrepared                   // admitted or queued, not sent
	KeySent                       // sent, without a response so far
	KeyAnswered                   // sent, and a response was received
	KeyPromised                   // promised to another entry VM: this one never sends it
	KeyReleased                   // was prepared; proven not run, may be sent again
)

var keyVerdictNames = [...]string{"unknown", "free", "prepared", "sent", "answered", "promised", "released"}

// String returns the name used in records.
func (v KeyVerdict) String() string { return keyVerdictNames[v] }

// JournalOptions configure NewJournal.
type JournalOptions struct {
	Self vm.Name
	// Incarnation of this process: promises are given only for keys of this incarnation.
	Incarnation vm.Incarnation
	// Age is how long a key is retained after its last change.
	Age time.Duration
	// Keys is the maximum number of keys in memory; above it the oldest are evicted early.
	Keys int
	// PastAge is the minimum time for which the hash of an evicted key is retained; a key must not be resubmitted
	// later.
	PastAge time.Duration
	// PastKeys is the maximum number of hashes; above it absent keys are UNKNOWN for up to twice PastAge.
	PastKeys int
	// ClaimAge is how long a claim is retained. By default it is also how long after its start the journal replies
	// UNKNOWN to claims, see ClaimsCompleteFrom.
	ClaimAge time.Duration
	// ClaimsCompleteFrom is the time from which this process has every claim that has not expired; until then it
	// replies UNKNOWN to claims. By default it is ClaimAge after the start of the journal.
	ClaimsCompleteFrom time.Time
}

// Journal tracks the idempotency keys that this incarnation of the entry VM has seen. It tells other entry VMs
// whether a key was sent. It is safe for concurrent use.
type Journal struct {
	opts JournalOptions

	mu      sync.Mutex
	keys    map[journalKey]*journalEntry
	order   expiryList[*journalEntry]
	claims  map[journalKey]*claimEntry
	claimed expiryList[*claimEntry]
	past    pastKeys
}

type journalKey struct {
	service steering.ServiceName
	key     string
}

type journalEntry struct {
	id      journalKey
	verdict KeyVerdict
	changed time.Time
}

type claimEntry struct {
	id      journalKey
	holders []string // NAME/INCARNATION, in the order of their claims
	changed time.Time
}

// NewJournal returns an empty Journal.
func NewJournal(opts JournalOptions) *Journal {
	if opts.Age <= 0 {
		opts.Age = defaultJournalAge
	}
	if opts.Keys <= 0 {
		opts.Keys = defaultJournalKeys
	}
	if opts.PastAge <= 0 {
		opts.PastAge = defaultPastAge
	}
	if opts.PastKeys <= 0 {
		opts.PastKeys = defaultPastKeys
	}
	if opts.ClaimAge <= 0 {
		opts.ClaimAge = defaultClaimAge
	}
	if opts.ClaimsCompleteFrom.IsZero() {
		opts.ClaimsCompleteFrom = time.Now().Add(opts.ClaimAge)
	}
	return &Journal{
		opts:   opts,
		keys:   make(map[journalKey]*journalEntry),
		claims: make(map[journalKey]*claimEntry),
		past:   pastKeys{age: opts.PastAge, limit: opts.PastKeys},
	}
}

// PrepareKey prepares key for sending. It returns KeyPrepared if its caller may send the key, otherwise the verdict
// that forbids it.
func (j *Journal) PrepareKey(service steering.ServiceName, key string) KeyVerdict {
	now := time.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	j.expire(now)
	id := journalKey{service, key}
	e := j.keys[id]
	if e == nil && j.past.mayContain(id, now) {
		return KeyUnknown
	}
	if e == nil {
		j.insert(id, KeyPrepared, now)
		return KeyPrepared
	}
	switch e.verdict {
	case KeyReleased:
		j.change(e, KeyPrepared, now)
		return KeyPrepared
	case KeyPrepared:
		return KeySent // the other submission may send it at any time
	default:
		return e.verdict
	}
}

// MarkSent moves a prepared key to sent. It returns false if the key was promised to another entry VM in the
// meantime; then nothing may be sent.
func (j *Journal) MarkSent(service steering.ServiceName, key string) bool {
	return j.transition(service, key, KeyPrepared, KeySent)
}

// MarkUnsent moves a sent key back to prepared, after proof that the attempt did not run.
func (j *Journal) MarkUnsent(service steering.ServiceName, key string) bool {
	return j.transition(service, key, KeySent, KeyPrepared)
}

// MarkAnswered records that a sent key received a response.
func (j *Journal) MarkAnswered(service steering.ServiceName, key string) bool {
	return j.transition(service, key, KeySent, KeyAnswered)
}

// Release releases a prepared key that was not sent. It returns false if the key was promised to another entry VM in
// the meantime, so that it may run there.
func (j *Journal) Release(service steering.ServiceName, key string) bool {
	return j.transition(service, key, KeyPrepared, KeyReleased)
}

func (j *Journal) transition(service steering.ServiceName, key string, from, to KeyVerdict) bool {
	now := time.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	e := j.keys[journalKey{service, key}]
	if e == nil || e.verdict != from {
		return false
	}
	j.change(e, to, now)
	return true
}

// PromiseNotSent responds to another entry VM. NOT_SENT is a promise never to send the key from here, even if a
// request for it is queued here.
func (j *Journal) PromiseNotSent(_ context.Context, req *peer.PromiseRequest) (*peer.PromiseReply, error) {
	reply := &peer.PromiseReply{Incarnation: uint64(j.opts.Incarnation)}
	if req.Incarnation != uint64(j.opts.Incarnation) {
		return reply, nil
	}
	reply.Verdict = j.promise(journalKey{steering.ServiceName(req.Service), req.Key})
	return reply, nil
}

func (j *Journal) promise(id journalKey) peer.PromiseReply_Verdict {
	now := time.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	j.expire(now)
	e := j.keys[id]
	if e == nil {
		sent := j.past.mayContain(id, now)
		j.insert(id, KeyPromised, now)
		if sent {
			return peer.PromiseReply_UNKNOWN
		}
		return peer.PromiseReply_NOT_SENT
	}
	switch e.verdict {
	case KeySent:
		return peer.PromiseReply_SENT
	case KeyAnswered:
		return peer.PromiseReply_ANSWERED
	default:
		j.change(e, KeyPromised, now)
		return peer.PromiseReply_NOT_SENT
	}
}

// ClaimKey responds to another entry VM that is about to send a key whose caller named no previous entry VM. HELD names
// every earlier claimant.
func (j *Journal) ClaimKey(_ context.Context, req *peer.ClaimRequest) (*peer.ClaimReply, error) {
	now := time.Now()
	holder := req.Holder + "/" + strconv.FormatUint(req.Incarnation, 10)
	id := journalKey{steering.ServiceName(req.Service), req.Key}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.expire(now)
	c := j.claims[id]
	if c == nil {
		c = &claimEntry{id: id, changed: now}
		j.claims[id] = c
		j.claimed.push(c, now)
	}
	reply := &peer.ClaimReply{Holder: strings.Join(without(c.holders, holder), ",")}
	c.holders = append(without(c.holders, holder), holder)
	switch {
	case reply.Holder != "":
		reply.Verdict = peer.ClaimReply_HELD
	case now.Before(j.opts.ClaimsCompleteFrom):
		reply.Verdict = peer.ClaimReply_UNKNOWN
	default:
		reply.Verdict = peer.ClaimReply_GRANTED
	}
	return reply, nil
}

// without returns holders without self.
func without(holders []string, self string) []string {
	var rest []string
	for _, h := range holders {
		if h != self {
			rest = append(rest, h)
		}
	}
	return rest
}
