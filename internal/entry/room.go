package entry

import (
	"sync"

	"github.com/azureflow/azureflow/internal/steering"
)

// rooms tells waiters of a service that room may have appeared. Signalling costs one read lock
// while nobody waits.
type rooms struct {
	mu      sync.RWMutex
	waiting map[steering.ServiceName]chan struct{} // absent: nobody waits
}

func newRooms() *rooms { return &rooms{waiting: make(map[steering.ServiceName]chan struct{})} }

// wait returns a channel that the next signal of service closes.
func (r *rooms) wait(service steering.ServiceName) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.waiting[service]
	if c == nil {
		c = make(chan struct{})
		r.waiting[service] = c
	}
	return c
}

// signal wakes those who wait for service.
func (r *rooms) signal(service steering.ServiceName) {
	r.mu.RLock()
	c := r.waiting[service]
	r.mu.RUnlock()
	if c == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.waiting[service] == c {
		delete(r.waiting, service)
		close(c)
	}
}

// signalAll wakes everyone.
func (r *rooms) signalAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, c := range r.waiting {
		delete(r.waiting, service)
		close(c)
	}
}
