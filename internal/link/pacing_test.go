package link

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/azureflow/azureflow/internal/steering"
)

// discipline orders the bytes of lookups and uploads on a link.
type discipline string

const (
	paced         discipline = "paced by class"
	fifo          discipline = "first in, first out"
	fifoByQuantum discipline = "first in, first out, uploads in quanta"
)

// linkExperiment models Sohar's link: 280 Mbit/s, 35 ms one way, lookups of 2 KB and scans of 20 MB.
type linkExperiment struct {
	discipline  discipline
	uploads     float64 // offered load, as a multiple of the usable rate
	lookupsMbit float64
	seed        uint64
}

const (
	linkMbit      = 280
	linkDelay     = 35 * time.Millisecond
	lookupBytes   = 2 << 10
	scanBytes     = 20_000_000
	simulatedTime = 8 * time.Second
)

type linkEvent struct {
	at  int64
	run func()
}

type linkEvents []linkEvent

func (h linkEvents) Len() int           { return len(h) }
func (h linkEvents) Less(i, k int) bool { return h[i].at < h[k].at }
func (h linkEvents) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }
func (h *linkEvents) Push(x any)        { *h = append(*h, x.(linkEvent)) }
func (h *linkEvents) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

type waiter struct {
	ticket *ticket
	then   func()
}

type grantedBytes struct {
	at    int64
	bytes int
}

type linkSimulation struct {
	linkExperiment
	rng             *rand.Rand
	now             int64
	events          linkEvents
	schedule        scheduler
	waiting         []waiter
	pumpAt          int64
	wireFree        int64 // when the link has transmitted everything it was given
	quantum         int
	waits           []time.Duration // of lookups until their first byte is on the link
	transits        []time.Duration // of lookups until their last byte arrives at the far end
	uploaded        int
	lookupBytesSent int
	grants          []grantedBytes
}

func (s *linkSimulation) after(d time.Duration, run func()) {
	heap.Push(&s.events, linkEvent{at: s.now + int64(d), run: run})
}

func (e linkExperiment) run() *linkSimulation {
	s := &linkSimulation{linkExperiment: e, rng: rand.New(rand.NewPCG(e.seed, 9))}
	rate := linkMbit * bytesPerMbit * 0.9
	s.schedule.setRate(rate, 0)
	s.quantum = quantumAt(rate)
	s.poisson(e.lookupsMbit*bytesPerMbit/lookupBytes, s.lookup)
	if e.uploads > 0 {
		s.poisson(e.uploads*rate/scanBytes, func() { s.upload(scanBytes) })
	}
	for s.now < int64(simulatedTime) {
		next := heap.Pop(&s.events).(linkEvent)
		s.now = next.at
		next.run()
	}
	slices.Sort(s.waits)
	slices.Sort(s.transits)
	return s
}

func (s *linkSimulation) poisson(perSecond float64, run func()) {
	s.after(time.Duration(s.rng.ExpFloat64()/perSecond*float64(time.Second)), func() {
		run()
		s.poisson(perSecond, run)
	})
}

func (s *linkSimulation) lookup() {
	arrived := s.now
	s.send(steering.ClassInteractive, lookupBytes, func() {
		begin := max(s.wireFree, s.now)
		s.transmit(lookupBytes)
		s.lookupBytesSent += lookupBytes
		s.waits = append(s.waits, time.Duration(begin-arrived))
		s.transits = append(s.transits, time.Duration(s.wireFree-arrived)+linkDelay)
	})
}

// upload sends the rest of a scan: all at once in first in, first out; otherwise quantum by quantum.
func (s *linkSimulation) upload(rest int) {
	part := min(rest, s.quantum)
	if s.discipline == fifo {
		part = rest
	}
	s.send(steering.ClassBulk, part, func() {
		s.transmit(part)
		s.uploaded += part
		if rest > part {
			s.after(time.Duration(s.wireFree-s.now), func() { s.upload(rest - part) })
		}
	})
}

func (s *linkSimulation) transmit(bytes int) {
	s.grants = append(s.grants, grantedBytes{at: s.now, bytes: bytes})
	s.wireFree = max(s.wireFree, s.now) + int64(float64(bytes)/(linkMbit*bytesPerMbit)*float64(time.Second))
}

func (s *linkSimulation) send(class steering.Class, bytes int, then func()) {
	if s.discipline != paced {
		then()
		return
	}
	t := &ticket{class: class, bytes: bytes}
	s.schedule.submit(t, s.now)
	s.waiting = append(s.waiting, waiter{ticket: t, then: then})
	s.grantAndSchedule()
}

// grantAndSchedule runs the callbacks of granted tickets and schedules itself for the next grant.
func (s *linkSimulation) grantAndSchedule() {
	s.schedule.advance(s.now)
	ready := slices.Clone(s.waiting)
	s.waiting = slices.DeleteFunc(s.waiting, func(w waiter) bool { return w.ticket.granted })
	for _, w := range ready {
		if w.ticket.granted {
			w.then()
		}
	}
	if after := s.schedule.nextWake(); after >= 0 && (s.pumpAt <= s.now || s.now+int64(after) < s.pumpAt) {
		s.pumpAt = s.now + int64(after)
		s.after(after, s.grantAndSchedule)
	}
}

// maxWindowShare returns the maximum of the bytes granted in any window of one second, as a fraction of the link.
func (s *linkSimulation) maxWindowShare() float64 {
	window, highest, first := 0, 0, 0
	for _, g := range s.grants {
		window += g.bytes
		for s.grants[first].at <= g.at-int64(time.Second) {
			window -= s.grants[first].bytes
			first++
		}
		highest = max(highest, window)
	}
	return float64(highest) / (linkMbit * bytesPerMbit)
}

func p99(sorted []time.Duration) time.Duration { return sorted[len(sorted)*99/100] }

// TestLookupsPassUploads checks the bounds on a link on which scans are offered at twice its rate.
func TestLookupsPassUploads(t *testing.T) {
	for seed := range uint64(5) {
		for _, lookupsMbit := range []float64{20, 100} {
			baseline := linkExperiment{paced, 0, lookupsMbit, seed}.run()
			overloaded := linkExperiment{paced, 2, lookupsMbit, seed}.run()
			unpaced := linkExperiment{fifo, 2, lookupsMbit, seed}.run()
			byQuantum := linkExperiment{fifoByQuantum, 2, lookupsMbit, seed}.run()
			left := linkMbit*0.9*bytesPerMbit*simulatedTime.Seconds() - float64(overloaded.lookupBytesSent)
			share := float64(overloaded.uploaded) / left
			slowdown := float64(p99(overloaded.transits)) / float64(p99(baseline.transits))
			t.Logf("seed %d, lookups %v Mbit/s: p99 transit %v, with uploads %v (×%.3f); p99 wait %v, %v; fifo %v, in quanta %v; uploads %.3f of the rest; busiest second %.4f",
				seed, lookupsMbit, p99(baseline.transits), p99(overloaded.transits), slowdown, p99(baseline.waits), p99(overloaded.waits),
				p99(unpaced.waits), p99(byQuantum.waits), share, overloaded.maxWindowShare())
			if slowdown > 1.25 || share < 0.8 || overloaded.maxWindowShare() > 0.9 || baseline.maxWindowShare() > 0.9 {
				t.Errorf("seed %d, lookups %v Mbit/s: slowdown, share of uploads or busiest second out of bounds", seed, lookupsMbit)
			}
		}
	}
}
