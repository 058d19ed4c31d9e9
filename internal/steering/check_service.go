package steering

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Limits on the values of steering files.
const (
	minDeadline      = time.Millisecond
	maxDeadline      = 10 * time.Minute
	maxExpectedBytes = 10_000_000_000
	maxPeakRequests  = 10_000_000 // requests a second
	maxWeight        = 1_000_000
	maxSlots         = 1_000_000
	minShiftShare    = 0.001
	minShiftWindow   = time.Second
	maxShiftWindow   = time.Hour
	maxPathBytes     = 512
)

var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}

// checkService checks a steering file without reference to the platform.
func checkService(service *Service, s *source, report *Report) {
	c := &checker{s, report}
	c.name("service", string(service.Name))
	c.name("team", string(service.Team))
	c.operations(service.Operations)
	c.weights(service.Weights)
	c.number("shift_cap.share", service.ShiftCap.Share, minShiftShare, 1)
	c.duration("shift_cap.window", service.ShiftCap.Window, minShiftWindow, maxShiftWindow)
	c.number("budgets.retries", service.Budgets.Retries, 0, 1)
	c.number("budgets.hedges", service.Budgets.Hedges, 0, 1)
	c.number("floor.share", service.Floor.Share, 0, 1)
	c.drains(service.Drains)
}

func (c *checker) operations(operations []Operation) {
	if c.hasValue("operations") && len(operations) == 0 {
		c.fault("operations", "no operation", "at least one")
	}
	names, routes := make(map[string]bool), make(map[string]bool)
	for i := range operations {
		o := &operations[i]
		path := fmt.Sprintf("operations[%d]", i)
		c.name(path+".name", string(o.Name))
		c.unique(path+".name", "operation", string(o.Name), names)
		c.unique(path+".path", "route", o.Method+" "+o.Path, routes)
		c.operation(path, o)
	}
}

func (c *checker) operation(path string, o *Operation) {
	if c.hasValue(path+".method") && !slices.Contains(methods, o.Method) {
		c.fault(path+".method", quote(o.Method), "one of "+strings.Join(methods, ", "))
	}
	if c.hasValue(path+".path") && !isValidTemplate(o.Path) {
		c.fault(path+".path", quote(o.Path), `a path such as "/scans/{id}"`)
	}
	c.duration(path+".deadline", o.Deadline, minDeadline, maxDeadline)
	c.number(path+".expected_bytes", float64(o.ExpectedBytes), 0, maxExpectedBytes)
	c.number(path+".peak_requests_s", o.PeakRequests, 0, maxPeakRequests)
	c.duration(path+".service_time", o.ServiceTime, 0, maxDeadline)
	if !o.Idempotent && (o.Method == "GET" || o.Method == "HEAD") {
		c.warn(path+".idempotent", o.Method+" that is not idempotent", "it is never retried or hedged once any byte left")
	}
	if o.ServiceTime > 0 && o.Deadline > 0 && o.ServiceTime >= o.Deadline {
		c.warn(path+".deadline", fmt.Sprintf("deadline %v at a service time of %v", o.Deadline.Std(), o.ServiceTime.Std()), "no request would be in time")
	}
}

// isValidTemplate reports whether path is a route that gorilla/mux accepts: each segment is either
// plain text or one variable in braces.
func isValidTemplate(path string) bool {
	if len(path) > maxPathBytes || !strings.HasPrefix(path, "/") {
		return false
	}
	variables := make(map[string]bool)
	for _, segment := range strings.Split(path[1:], "/") {
		if name, ok := strings.CutPrefix(segment, "{"); ok {
			name, ok = strings.CutSuffix(name, "}")
			if !ok || !namePattern.MatchString(name) || variables[name] {
				return false
			}
			variables[name] = true
			continue
		}
		if !isPlainSegment(segment) {
			return false
		}
	}
	return true
}

func isPlainSegment(segment string) bool {
	if segment == "." || segment == ".." {
		return false
	}
	for _, r := range segment {
		isPlain := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !isPlain && !strings.ContainsRune("-._~", r) {
			return false
		}
	}
	return true
}

func (c *checker) weights(weights []RegionWeight) {
	seen := make(map[string]bool)
	sum := 0.0
	for i, w := range weights {
		path := fmt.Sprintf("regions[%d]", i)
		c.unique(path+".region", "region", string(w.Region), seen)
		c.number(path+".weight", w.Weight, 0, maxWeight)
		c.number(path+".slots", float64(w.Slots), 0, maxSlots)
		sum += max(w.Weight, 0)
	}
	if c.hasValue("regions") && sum == 0 {
		c.fault("regions", "no region with a weight above 0", "at least one")
	}
}

func (c *checker) drains(drains []Drain) {
	for i, d := range drains {
		path := fmt.Sprintf("drains[%d]", i)
		if (d.Region == "") == (d.Zone == "") {
			c.fault(path, "not one of region and zone", "either region or zone")
		}
	}
}
