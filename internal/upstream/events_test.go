package upstream

import (
	"container/heap"
	"time"
)

// events is the event queue of a simulation, ordered by time and then by when the events were added.
type events struct {
	heap eventHeap
	seq  int
}

func (e *events) push(at time.Duration, run func()) {
	e.seq++
	heap.Push(&e.heap, event{at: at, seq: e.seq, run: run})
}

func (e *events) pop() event { return heap.Pop(&e.heap).(event) }

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, k int) bool {
	return h[i].at < h[k].at || (h[i].at == h[k].at && h[i].seq < h[k].seq)
}
func (h eventHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
