package review

import "time"

// countRecords returns how many records of each sort lie in records, by life of a VM.
func countRecords(records []*Record, source CoverageSource, from, to time.Time) []Count {
	index := make(map[countKey]int)
	var counts []Count
	for _, r := range records {
		key := countKey{life{r.VM, r.Incarnation}, sortOf(r)}
		i, seen := index[key]
		if !seen {
			i = len(counts)
			index[key] = i
			counts = append(counts, Count{
				VM: r.VM, Incarnation: r.Incarnation, Source: source,
				Kind: r.Kind, Service: r.Service, Operation: r.Operation, Constraint: r.Constraint,
				Result: key.sort.result, Outcome: r.Outcome, From: from, To: to,
			})
		}
		counts[i].Records++
	}
	return counts
}

type countKey struct {
	life life
	sort sort
}
