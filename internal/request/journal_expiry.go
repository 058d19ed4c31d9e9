package request

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// expiring is an item that an expiryList may hold twice; only its last change counts.
type expiring interface {
	lastChange() time.Time
}

// expiryList holds items in the order of their insertion or change.
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

// pop returns the oldest item whose last change was before limit, skipping outdated places.
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

// forget drops what is too old, or the oldest when there are too many.
func (j *Journal) forget(now time.Time) {
	limit := now.Add(-j.opts.Age)
	for e, ok := j.order.pop(limit); ok; e, ok = j.order.pop(limit) {
		j.drop(e, now)
	}
	for len(j.keys) > j.opts.Keys {
		e, ok := j.order.pop(now)
		if !ok {
			break
		}
		j.drop(e, now)
	}
	oldClaim := now.Add(-j.opts.ClaimAge)
	for c, ok := j.claimed.pop(oldClaim); ok; c, ok = j.claimed.pop(oldClaim) {
		delete(j.claims, c.id)
	}
}

// drop forgets e but for its hash. A prepared key stays: its request is in this process.
func (j *Journal) drop(e *journalEntry, now time.Time) {
	if e.verdict == KeyPrepared {
		j.change(e, KeyPrepared, now)
		return
	}
	delete(j.keys, e.id)
	if e.verdict != KeyReleased {
		j.past.add(e.id, now)
	}
}

// pastKeys holds hashes of forgotten keys in two generations.
type pastKeys struct {
	age   time.Duration // of a generation
	limit int           // hashes in a generation

	turned   time.Time // when the current generation began
	current  pastGeneration
	previous pastGeneration
}

type pastGeneration struct {
	hashes map[uint64]struct{}
	full   bool // hashes are missing
}

func (g *pastGeneration) mayHold(hash uint64) bool {
	_, ok := g.hashes[hash]
	return ok || g.full
}

func (p *pastKeys) add(id journalKey, now time.Time) {
	p.turn(now)
	if len(p.current.hashes) >= p.limit {
		p.current.full = true
		return
	}
	if p.current.hashes == nil {
		p.current.hashes = make(map[uint64]struct{})
	}
	p.current.hashes[id.hash()] = struct{}{}
}

// mayHold reports whether id may have been forgotten; false is certain for keys younger than age.
func (p *pastKeys) mayHold(id journalKey, now time.Time) bool {
	p.turn(now)
	hash := id.hash()
	return p.current.mayHold(hash) || p.previous.mayHold(hash)
}

func (p *pastKeys) turn(now time.Time) {
	if now.Sub(p.turned) < p.age {
		return
	}
	p.previous = p.current
	if now.Sub(p.turned) >= 2*p.age {
		p.previous = pastGeneration{}
	}
	p.current = pastGeneration{}
	p.turned = now
}

func (k journalKey) hash() uint64 {
	return xxhash.Sum64String(string(k.service) + "\x00" + k.key)
}
