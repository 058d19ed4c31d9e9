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

// KeyVerdict says what a journal knows of a key.
type KeyVerdict uint8

// The verdicts on a key.
const (
	KeyUnknown  KeyVerdict = iota // cannot tell
	KeyFree                       // not sent by this entry VM
	KeyPrepared                   // admitted or queued, not sent
	KeySent                       // sent, no answer yet or none came
	KeyAnswered                   // sent and answered
	KeyPromised                   // promised to another entry VM: never sent here
	KeyReleased                   // was prepared; proved not run, may be sent again
)

var keyVerdictNames = [...]string{"unknown", "free", "prepared", "sent", "answered", "promised", "released"}

// String returns the name used in records.
func (v KeyVerdict) String() string { return keyVerdictNames[v] }

// JournalOptions configure NewJournal.
type JournalOptions struct {
	Self vm.Name
	// Incarnation of this process: a promise is only given for keys of this life.
	Incarnation vm.Incarnation
	// Age is how long a key is remembered after its last change.
	Age time.Duration
	// Keys bounds the keys in memory; above it the oldest are forgotten early.
	Keys int
	// PastAge is how long, at least, a forgotten key is still known by its hash; a key must not be
	// resubmitted later.
	PastAge time.Duration
	// PastKeys bounds the hashes; above it absent keys are UNKNOWN for up to twice PastAge.
	PastKeys int
	// ClaimAge is how long a claim is remembered, and how long after KnownFrom claims are answered UNKNOWN.
	ClaimAge time.Duration
	// ClaimsCompleteFrom is the time from which every claim was made at this process; by default its start.
	ClaimsCompleteFrom time.Time
}

// Journal remembers the idempotency keys that this life of the entry VM has seen. It answers other
// entry VMs that ask whether a key was sent. Safe for concurrent use.
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

// PrepareKey prepares key for sending. It returns KeyPrepared if the caller of PrepareKey may go on, else what
// forbids it.
func (j *Journal) PrepareKey(service steering.ServiceName, key string) KeyVerdict {
	now := time.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	j.forget(now)
	id := journalKey{service, key}
	e := j.keys[id]
	if e == nil && j.past.mayHold(id, now) {
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
		return KeySent // the other submission may send it at any moment
	default:
		return e.verdict
	}
}

// MarkSent moves a prepared key to sent. It returns false if the key was promised away meanwhile; then
// nothing may be sent.
func (j *Journal) MarkSent(service steering.ServiceName, key string) bool {
	return j.move(service, key, KeyPrepared, KeySent)
}

// MarkUnsent moves a sent key back to prepared, after proof that the sending did not run.
func (j *Journal) MarkUnsent(service steering.ServiceName, key string) bool {
	return j.move(service, key, KeySent, KeyPrepared)
}

// MarkAnswered notes that a sent key was answered.
func (j *Journal) MarkAnswered(service steering.ServiceName, key string) bool {
	return j.move(service, key, KeySent, KeyAnswered)
}

// Release ends a prepared key that was not sent. It returns false if the key was promised to another
// entry VM meanwhile, so that it may run there.
func (j *Journal) Release(service steering.ServiceName, key string) bool {
	return j.move(service, key, KeyPrepared, KeyReleased)
}

func (j *Journal) move(service steering.ServiceName, key string, from, to KeyVerdict) bool {
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

// PromiseNotSent answers another entry VM: NOT_SENT binds this one never to send the key, also if a
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
	j.forget(now)
	e := j.keys[id]
	if e == nil {
		sent := j.past.mayHold(id, now)
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

// ClaimKey answers another entry VM that is about to send a key whose caller names no previous entry
// VM. HELD names every earlier claimant.
func (j *Journal) ClaimKey(_ context.Context, req *peer.ClaimRequest) (*peer.ClaimReply, error) {
	now := time.Now()
	holder := req.Holder + "/" + strconv.FormatUint(req.Incarnation, 10)
	id := journalKey{steering.ServiceName(req.Service), req.Key}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.forget(now)
	c := j.claims[id]
	if c == nil {
		c = &claimEntry{id: id, changed: now}
		j.claims[id] = c
		j.claimed.push(c, now)
	}
	reply := &peer.ClaimReply{Holder: strings.Join(others(c.holders, holder), ",")}
	c.holders = append(others(c.holders, holder), holder)
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

// others returns holders without self.
func others(holders []string, self string) []string {
	var rest []string
	for _, h := range holders {
		if h != self {
			rest = append(rest, h)
		}
	}
	return rest
}
