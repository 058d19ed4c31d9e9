package admission

import (
	"container/heap"
	"slices"
)

// level holds the waiting tickets of one priority as a heap.
type level struct {
	priority int
	tickets  []*Ticket
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (l *level) Len() int           { return len(l.tickets) }
func (l *level) Less(i, j int) bool { return l.tickets[i].goesBefore(l.tickets[j]) }
func (l *level) Swap(i, j int) {
	l.tickets[i], l.tickets[j] = l.tickets[j], l.tickets[i]
	l.tickets[i].position, l.tickets[j].position = i+1, j+1
}
func (l *level) Push(x any) {
	t := x.(*Ticket)
	l.tickets = append(l.tickets, t)
	t.position = len(l.tickets)
}
func (l *level) Pop() any {
	t := l.tickets[len(l.tickets)-1]
	l.tickets[len(l.tickets)-1] = nil
	l.tickets = l.tickets[:len(l.tickets)-1]
	t.position = 0
	return t
}

// last returns the ticket that goes after all others. It is a leaf of the heap, so half of the tickets are compared.
func (l *level) last() *Ticket {
	leaves := l.tickets[len(l.tickets)/2:]
	last := leaves[0]
	for _, t := range leaves[1:] {
		if last.goesBefore(t) {
			last = t
		}
	}
	return last
}

// level returns the level of a priority, which is added if necessary. Levels are sorted, the most urgent first.
func (q *Queue) level(priority int) *level {
	i, ok := slices.BinarySearchFunc(q.levels, priority, func(l *level, p int) int { return l.priority - p })
	if !ok {
		q.levels = slices.Insert(q.levels, i, &level{priority: priority})
	}
	return q.levels[i]
}

// remove removes a waiting ticket. It returns false if the ticket does not wait.
func (q *Queue) remove(t *Ticket) bool {
	if t.position == 0 {
		return false
	}
	heap.Remove(q.level(t.Priority), t.position-1)
	q.waiting--
	return true
}
