package review

import "sync/atomic"

// cacheLine is the padding, in bytes, that keeps the counters of a shard on different cache lines.
const cacheLine = 128

// shard is a lock-free ring buffer of records with any number of writers and readers.
type shard struct {
	ids   atomic.Uint64 // number of ids allocated
	_     [cacheLine]byte
	next  atomic.Uint64 // position of the next record
	_     [cacheLine]byte
	slots []atomic.Pointer[entry]
}

// entry is a record with its position in a shard. It is immutable.
type entry struct {
	position uint64
	record   *Record
}

func (s *shard) push(r *Record) { s.store(s.reserve(r)) }

// reserve assigns the next position to r.
func (s *shard) reserve(r *Record) *entry { return &entry{position: s.next.Add(1) - 1, record: r} }

// store makes e readable unless a later record occupies its slot: a writer that was delayed for a full round of the
// ring does not overwrite the later record.
func (s *shard) store(e *entry) {
	at := s.slot(e.position)
	for {
		old := at.Load()
		if old != nil && old.position > e.position || at.CompareAndSwap(old, e) {
			return
		}
	}
}

// slot returns the slot of a position.
func (s *shard) slot(position uint64) *atomic.Pointer[entry] {
	return &s.slots[position&uint64(len(s.slots)-1)]
}

// readState is the result of reading a position.
type readState uint8

const (
	readOK      readState = iota // the record is available
	readPending                  // a writer has reserved the position and not finished
	readLost                     // a later record occupies the slot
)

func (s *shard) read(position uint64) (*Record, readState) {
	e := s.slot(position).Load()
	switch {
	case e != nil && e.position == position:
		return e.record, readOK
	case e != nil && e.position > position, s.next.Load() > position+uint64(len(s.slots)):
		return nil, readLost
	default:
		return nil, readPending
	}
}

// oldest returns the lowest position that may still be in the ring.
func (s *shard) oldest() uint64 {
	next := s.next.Load()
	if size := uint64(len(s.slots)); next > size {
		return next - size
	}
	return 0
}

// each calls fn with the records in the ring, oldest first.
func (s *shard) each(fn func(*Record)) {
	end := s.next.Load()
	for position := s.oldest(); position < end; position++ {
		if record, state := s.read(position); state == readOK {
			fn(record)
		}
	}
}

// cursor reads each record of all shards once, in batches.
type cursor struct {
	shards []*shard
	next   []uint64 // next position to read, by shard
}

// read appends unread records to into until it has limit elements. It returns into and the number of records that
// were overwritten before they were read.
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
		case readOK:
			into = append(into, record)
		case readLost:
			lost++
		case readPending:
			return into, lost
		}
	}
	return into, lost
}
