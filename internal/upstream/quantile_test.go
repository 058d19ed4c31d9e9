package upstream

import (
	"math"
	"sync/atomic"
)

// hedgeQuantile is the quantile of latency after which a hedge is worth its cost.
const hedgeQuantile = 0.95

// enoughSamples is how many samples a quantile is estimated from at least.
const enoughSamples = 50

// quantile follows a quantile of a stream by small steps up and down, in constant memory.
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
	if q.samples.Load() < enoughSamples {
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

// value returns the estimate, or 0 while too few samples were seen.
func (q *quantile) value() float64 {
	if q.samples.Load() < enoughSamples {
		return 0
	}
	return q.current.load()
}
