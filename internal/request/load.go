package request

import (
	"strconv"
	"strings"
)

// parseLoad parses a HeaderLoad value such as "in_flight=2, queued=0, slots=5, draining=0". It returns nil if the
// value is empty or malformed.
func parseLoad(text string) *UpstreamLoad {
	if text == "" {
		return nil
	}
	load := &UpstreamLoad{}
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		n, err := strconv.Atoi(value)
		if err != nil || n < 0 {
			return nil
		}
		switch name {
		case "in_flight":
			load.InFlight = n
		case "queued":
			load.Queued = n
		case "slots":
			load.Slots = n
		case "draining":
			load.Draining = n == 1
		}
	}
	return load
}
