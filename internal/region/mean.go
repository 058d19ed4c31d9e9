package region

import (
	"math"
	"time"
)

// mean is an exponentially weighted moving average over time.
type mean struct {
	value float64
	at    time.Time
}

func (m *mean) add(at time.Time, value float64, timeConstant time.Duration) {
	if m.at.IsZero() {
		m.value, m.at = value, at
		return
	}
	decay := math.Exp(-at.Sub(m.at).Seconds() / timeConstant.Seconds())
	m.value = m.value*decay + value*(1-decay)
	m.at = at
}

// peakBuckets is the number of buckets into which the span of a peak is divided.
const peakBuckets = 6

// peak is the maximum of a value over a sliding span of time. Planning for the maximum keeps noise from moving traffic
// back and forth.
type peak struct {
	buckets [peakBuckets]float64
	current int64 // number of the current bucket since the Unix epoch
}

func (p *peak) add(at time.Time, value float64, span time.Duration) {
	bucket := at.UnixNano() / int64(span/peakBuckets)
	if bucket-p.current >= peakBuckets {
		p.buckets = [peakBuckets]float64{}
		p.current = bucket
	}
	for p.current < bucket {
		p.current++
		p.buckets[p.current%peakBuckets] = 0
	}
	p.buckets[bucket%peakBuckets] = max(p.buckets[bucket%peakBuckets], value)
}

func (p *peak) value() float64 {
	highest := 0.0
	for _, v := range p.buckets {
		highest = max(highest, v)
	}
	return highest
}
