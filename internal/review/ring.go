package review

import "sync/atomic"

// cacheLine is the distance, in bytes, that keeps the counters of two shards apart.
const cacheLine = 128

// shard is a ring of records with many writers and any number of readers, without locks.
type shard struct {
	ids   atomic.Uint64 // ids given out
	_     [cacheLine]byte
	next  atomic.Uint64 // position of the next record
	_     [cacheLine]byte
	slots []atomic.Pointer[entry]
}

// entry is a record at its position in a shard. It does not change.
type entry struct {
	position uint64
	record   *Record
}

func (s *shard) put(r *Record) { s.store(s.take(r)) }

// take gives r the next position.
func (s *shard) take(r *Record) *entry { return &entry{position: s.next.Add(1) - 1, record: r} }

// store makes e readable, unless a later record has its slot: a writer that was held up for a whole round gives way.
func (s *shard) store(e *entry) {
	at := s.slot(e.position)
	for {
		old := at.Load()
		if old != nil && old.position > e.position || at.CompareAndSwap(old, e) {
			return
		}
	}
}

// slot returns the place of a position.
func (s *shard) slot(position uint64) *atomic.Pointer[entry] {
	return &s.slots[position&uint64(len(s.slots)-1)]
}

// readState says what a read of a position found.
type readState uint8

const (
	readWhole   readState = iota // the record is there
	readPending                  // a writer has taken the position and not yet finished
	readLost                     // a later record took the slot
)

func (s *shard) read(position uint64) (*Record, readState) {
	e := s.slot(position).Load()
	switch {
	case e != nil && e.position == position:
		return e.record, readWhole
	case e != nil && e.position > position, s.next.Load() > position+uint64(len(s.slots)):
		return nil, readLost
	default:
		return nil, readPending
	}
}

// oldest returns the lowest position that the ring may still hold.
func (s *shard) oldest() uint64 {
	next := s.next.Load()
	if size := uint64(len(s.slots)); next > size {
		return next - size
	}
	return 0
}

// each calls fn with the records that the ring holds, oldest first.
func (s *shard) each(fn func(*Record)) {
	end := s.next.Load()
	for position := s.oldest(); position < end; position++ {
		if record, state := s.read(position); state == readWhole {
			fn(record)
		}
	}
}

// cursor reads the records of all shards once, in batches.
type cursor struct {
	shards []*shard
	next   []uint64 // per shard: position to read next
}

// read appends up to limit unread records to into and returns it with the number of records that
// the rings lost before they were read.
func (c *cursor) read(into []*Record, limit int) ([]*Record, uint64) {
	var lost uint64
	for i, s := range c.shards {
		var n uint64
		into, n = c.readShard(i, s, into, limit)
		lost += n
	}
	return into, lost
}

func (c *cursor) readShard(i int, s *shard, into []*Record, limit int) ([]*Record, uint64) {
	var lost uint64
	if oldest := s.oldest(); oldest > c.next[i] {
		lost = oldest - c.next[i]
		c.next[i] = oldest
	}
	end := s.next.Load()
	for ; c.next[i] < end && len(into) < limit; c.next[i]++ {
		record, state := s.read(c.next[i])
		switch state {
		case readWhole:
			into = append(into, record)
		case readLost:
			lost++
		case readPending:
			return into, lost
		}
	}
	return into, lost
}
