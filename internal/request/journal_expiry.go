package request

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// expiring is an item that an expiryList may contain more than once; only the entry of its last change counts.
type expiring interface {
	lastChange() time.Time
}

// expiryList is a queue of items in the order of their insertion or change.
type expiryList[T expiring] struct {
	items []expiryItem[T]
	head  int
}

type expiryItem[T expiring] struct {
	item T
	at   time.Time
}

func (l *expiryList[T]) push(item T, at time.Time) {
	if l.head > len(l.items)/2 && l.head > 1024 {
		l.items = append(l.items[:0], l.items[l.head:]...)
		l.head = 0
	}
	l.items = append(l.items, expiryItem[T]{item, at})
}

// pop removes and returns the oldest item whose last change was before limit, skipping outdated entries.
func (l *expiryList[T]) pop(limit time.Time) (item T, ok bool) {
	for l.head < len(l.items) {
		first := l.items[l.head]
		if !first.at.Before(limit) {
			return item, false
		}
		l.items[l.head] = expiryItem[T]{}
		l.head++
		if first.item.lastChange().Equal(first.at) {
			return first.item, true
		}
	}
	return item, false
}

func (e *journalEntry) lastChange() time.Time { return e.changed }
func (c *claimEntry) lastChange() time.Time   { return c.changed }

func (j *Journal) insert(id journalKey, v KeyVerdict, now time.Time) {
	e := &journalEntry{id: id, verdict: v, changed: now}
	j.keys[id] = e
	j.order.push(e, now)
}

func (j *Journal) change(e *journalEntry, v KeyVerdict, now time.Time) {
	e.verdict = v
	if now.Equal(e.changed) {
		return
	}
	e.changed = now
	j.order.push(e, now)
}

// expire evicts keys that are too old, and the oldest ones when there are too many, and deletes old claims.
func (j *Journal) expire(now time.Time) {
	limit := now.Add(-j.opts.Age)
	for e, ok := j.order.pop(limit); ok; e, ok = j.order.pop(limit) {
		j.evict(e, now)
	}
	for len(j.keys) > j.opts.Keys {
		e, ok := j.order.pop(now)
		if !ok {
			break
		}
		j.evict(e, now)
	}
	oldClaim := now.Add(-j.opts.ClaimAge)
	for c, ok := j.claimed.pop(oldClaim); ok; c, ok = j.claimed.pop(oldClaim) {
		delete(j.claims, c.id)
	}
}

// evict removes e and retains only its hash. A prepared key stays, because its request is still in this process.
func (j *Journal) evict(e *journalEntry, now time.Time) {
	if e.verdict == KeyPrepared {
		j.change(e, KeyPrepared, now)
		return
	}
	delete(j.keys, e.id)
	if e.verdict != KeyReleased {
		j.past.add(e.id, now)
	}
}

// pastKeys holds the hashes of evicted keys in two generations.
type pastKeys struct {
	age   time.Duration // of a generation
	limit int           // hashes in a generation

	rotatedAt time.Time // start of the current generation
	current   pastGeneration
	previous  pastGeneration
}

type pastGeneration struct {
	hashes     map[uint64]struct{}
	overflowed bool // hashes were dropped at the limit
}

func (g *pastGeneration) mayContain(hash uint64) bool {
	_, ok := g.hashes[hash]
	return ok || g.overflowed
}

func (p *pastKeys) add(id journalKey, now time.Time) {
	p.rotate(now)
	if len(p.current.hashes) >= p.limit {
		p.current.overflowed = true
		return
	}
	if p.current.hashes == nil {
		p.current.hashes = make(map[uint64]struct{})
	}
	p.current.hashes[id.hash()] = struct{}{}
}

// mayContain reports whether id may have been evicted; false is certain for keys younger than age.
func (p *pastKeys) mayContain(id journalKey, now time.Time) bool {
	p.rotate(now)
	hash := id.hash()
	return p.current.mayContain(hash) || p.previous.mayContain(hash)
}

func (p *pastKeys) rotate(now time.Time) {
	if now.Sub(p.rotatedAt) < p.age {
		return
	}
	p.previous = p.current
	if now.Sub(p.rotatedAt) >= 2*p.age {
		p.previous = pastGeneration{}
	}
	p.current = pastGeneration{}
	p.rotatedAt = now
}

func (k journalKey) hash() uint64 {
	return xxhash.Sum64String(string(k.service) + "\x00" + k.key)
}
