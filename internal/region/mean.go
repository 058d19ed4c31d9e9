package region

import (
	"math"
	"time"
)

// mean is an exponentially weighted mean over time.
type mean struct {
	value float64
	at    time.Time
}

func (m *mean) add(at time.Time, value float64, constant time.Duration) {
	if m.at.IsZero() {
		m.value, m.at = value, at
		return
	}
	keep := math.Exp(-at.Sub(m.at).Seconds() / constant.Seconds())
	m.value = m.value*keep + value*(1-keep)
	m.at = at
}

// peakParts is the number of parts of the time that a peak looks back on.
const peakParts = 6

// peak is the highest value of the last span of time. Planning for it keeps noise from moving
// traffic back and forth.
type peak struct {
	parts [peakParts]float64
	last  int64 // number of the current part since the epoch
}

func (p *peak) add(at time.Time, value float64, span time.Duration) {
	part := at.UnixNano() / int64(span/peakParts)
	if part-p.last >= peakParts {
		p.parts = [peakParts]float64{}
		p.last = part
	}
	for p.last < part {
		p.last++
		p.parts[p.last%peakParts] = 0
	}
	p.parts[part%peakParts] = max(p.parts[part%peakParts], value)
}

func (p *peak) value() float64 {
	most := 0.0
	for _, v := range p.parts {
		most = max(most, v)
	}
	return most
}
