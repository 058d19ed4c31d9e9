package review

import "sync"

// inboxBatches bounds the digests of other VMs that wait for the next write of the zone.
const inboxBatches = 256

// digestInbox holds the digests that other VMs of the zone sent to this one as their leader.
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

// take returns the batches and the number of records dropped, and empties the inbox.
func (i *digestInbox) take() ([]*Batch, uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	batches, dropped := i.batches, i.dropped
	i.batches, i.dropped = nil, 0
	return batches, dropped
}
