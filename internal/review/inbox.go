package review

import "sync"

// inboxBatches is the maximum number of digests of other VMs that are buffered until the next write of the zone.
const inboxBatches = 256

// digestInbox buffers the digests that other VMs of the zone sent to this VM as their leader.
type digestInbox struct {
	mu      sync.Mutex
	batches []*Batch
	dropped uint64 // records
}

func (i *digestInbox) add(b *Batch) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.batches) >= inboxBatches {
		i.dropped += uint64(len(b.Records))
		return
	}
	i.batches = append(i.batches, b)
}

// removeAll returns the batches and the number of dropped records, and empties the inbox.
func (i *digestInbox) removeAll() ([]*Batch, uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	batches, dropped := i.batches, i.dropped
	i.batches, i.dropped = nil, 0
	return batches, dropped
}
