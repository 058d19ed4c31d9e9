package link

import (
	"time"

	"github.com/azureflow/azureflow/internal/steering"
)

// Usage describes the bytes that a Pacer has granted.
type Usage struct {
	From         steering.RegionName         `json:"from"`
	To           steering.RegionName         `json:"to"`
	PeakMbit1s   float64                     `json:"peak_mbit_1s"`  // busiest second of the last ten, Mbit/s
	CapacityMbit float64                     `json:"capacity_mbit"` // that this VM may use, Mbit/s
	LimitMbit    float64                     `json:"limit_mbit"`    // maximum that it uses, Mbit/s
	SteadyMbit   float64                     `json:"steady_mbit"`   // sustained rate at which it may send, Mbit/s
	HeadroomMbit float64                     `json:"headroom_mbit"` // capacity minus the peak, Mbit/s
	Bytes        [steering.ClassCount]uint64 `json:"bytes"`         // by class, since the start
	LastMbit1s   float64                     `json:"last_mbit_1s"`  // in the last second, Mbit/s
	Waiting      bool                        `json:"waiting"`       // bytes wait for capacity
}

const (
	usageStep    = int64(20 * time.Millisecond)
	stepsPerSec  = int(int64(time.Second) / usageStep)
	usageSeconds = 10
	usageSteps   = usageSeconds * stepsPerSec
)

// usage counts granted bytes in steps of time. Windows start and end at step boundaries.
type usage struct {
	bytes [steering.ClassCount]uint64
	steps [usageSteps]float64 // bytes
	last  int64               // number of the newest step
}

func (u *usage) add(class steering.Class, bytes int, now int64) {
	u.bytes[class] += uint64(bytes)
	u.advance(now)
	u.steps[u.last%int64(usageSteps)] += float64(bytes)
}

// advance clears the steps since the newest one.
func (u *usage) advance(now int64) {
	step := now / usageStep
	if step-u.last > int64(usageSteps) {
		u.last = step - int64(usageSteps)
	}
	for u.last < step {
		u.last++
		u.steps[u.last%int64(usageSteps)] = 0
	}
}

// peak returns the rate of the busiest second, Mbit/s.
func (u *usage) peak(now int64) float64 {
	u.advance(now)
	oldest := u.last + 1
	window, highest := 0.0, 0.0
	for i := range usageSteps {
		window += u.steps[(oldest+int64(i))%int64(usageSteps)]
		if i >= stepsPerSec {
			window -= u.steps[(oldest+int64(i-stepsPerSec))%int64(usageSteps)]
		}
		highest = max(highest, window)
	}
	return highest / bytesPerMbit
}

// lastSecond returns the rate of the last second, Mbit/s.
func (u *usage) lastSecond(now int64) float64 {
	u.advance(now)
	sum := 0.0
	for i := range stepsPerSec {
		sum += u.steps[(u.last-int64(i)+int64(usageSteps))%int64(usageSteps)]
	}
	return sum / bytesPerMbit
}
