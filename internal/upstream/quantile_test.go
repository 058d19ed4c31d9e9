package upstream

import (
	"math"
	"sync/atomic"
)

// hedgeQuantile is the quantile of the latency after which a lookup is hedged.
const hedgeQuantile = 0.95

// minSamples is the minimum number of samples for an estimate.
const minSamples = 50

// quantile estimates a quantile of a stream by small steps up and down, in constant memory.
type quantile struct {
	target  float64 // 0 to 1
	current atomicFloat
	samples atomic.Int64
}

func (q *quantile) add(sample float64) {
	const step = 0.05 // of the logarithm, at a quantile of one half
	if sample <= 0 {
		return
	}
	if q.samples.Load() < minSamples {
		q.samples.Add(1)
	}
	q.current.update(func(old float64) float64 {
		switch {
		case old == 0:
			return sample
		case sample > old:
			return old * math.Exp(step*q.target)
		default:
			return old * math.Exp(-step*(1-q.target))
		}
	})
}

// value returns the estimate, or 0 with fewer than minSamples samples.
func (q *quantile) value() float64 {
	if q.samples.Load() < minSamples {
		return 0
	}
	return q.current.load()
}
