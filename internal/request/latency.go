package request

import (
	"math/bits"
	"sync"
	"time"
)

const (
	latencyBuckets      = 128
	latencySubBits      = 2 // four buckets per doubling
	latencyWindow       = 512
	hedgeQuantile       = 0.95
	minHedgeSamples     = 32
	minHedgeDelay       = 2 * time.Millisecond
	latencyUnit         = time.Microsecond
	latencyDecayDivisor = 2
)

// latencyHistogram estimates quantiles of the recent latencies of one operation. It is safe for concurrent use.
type latencyHistogram struct {
	mu     sync.Mutex
	counts [latencyBuckets]uint32
	total  uint32
}

// add records one latency. Counts are halved once the window is full, so that old samples decay.
func (l *latencyHistogram) add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[latencyBucket(d)]++
	l.total++
	if l.total < latencyWindow {
		return
	}
	l.total = 0
	for i := range l.counts {
		l.counts[i] /= latencyDecayDivisor
		l.total += l.counts[i]
	}
}

// quantile returns the upper bound of the bucket that holds quantile q, and the number of samples.
func (l *latencyHistogram) quantile(q float64) (time.Duration, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rank := uint32(q * float64(l.total))
	seen := uint32(0)
	for i, n := range l.counts {
		seen += n
		if seen > rank {
			return latencyBound(i), int(l.total)
		}
	}
	return 0, int(l.total)
}

func latencyBucket(d time.Duration) int {
	us := uint64(max(0, d/latencyUnit)) + 1<<latencySubBits
	exp := bits.Len64(us) - 1 - latencySubBits
	sub := int(us>>exp) - 1<<latencySubBits
	return min(exp<<latencySubBits+sub, latencyBuckets-1)
}

func latencyBound(bucket int) time.Duration {
	exp := bucket >> latencySubBits
	sub := bucket & (1<<latencySubBits - 1)
	us := (uint64(1<<latencySubBits+sub+1) << exp) - 1<<latencySubBits
	return time.Duration(us) * latencyUnit
}

// hedgeDelay returns how long to wait for a first byte before a second attempt; false if there are too few samples.
func (l *latencyHistogram) hedgeDelay() (time.Duration, bool) {
	d, n := l.quantile(hedgeQuantile)
	if n < minHedgeSamples {
		return 0, false
	}
	return max(d, minHedgeDelay), true
}
