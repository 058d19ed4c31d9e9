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
	slots []slot
}

// slot holds the record at a position. stamp is the position plus one while record is whole, and 0
// while a writer replaces it.
type slot struct {
	stamp  atomic.Uint64
	record atomic.Pointer[Record]
}

func (s *shard) put(r *Record) {
	position := s.next.Add(1) - 1
	at := &s.slots[position&uint64(len(s.slots)-1)]
	at.stamp.Store(0)
	at.record.Store(r)
	at.stamp.Store(position + 1)
}

// readState says what a read of a position found.
type readState uint8

const (
	readWhole   readState = iota // the record is there
	readPending                  // a writer has taken the position and not yet finished
	readLost                     // a later record took the slot
)

func (s *shard) read(position uint64) (*Record, readState) {
	at := &s.slots[position&uint64(len(s.slots)-1)]
	before := at.stamp.Load()
	record := at.record.Load()
	after := at.stamp.Load()
	switch {
	case before == position+1 && after == before:
		return record, readWhole
	case before > position+1 || s.next.Load() > position+uint64(len(s.slots)):
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
