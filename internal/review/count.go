package review

import "time"

// countRecords returns the number of records of each class, by VM incarnation.
func countRecords(records []*Record, source CoverageSource, from, to time.Time) []Count {
	index := make(map[countKey]int)
	var counts []Count
	for _, r := range records {
		key := countKey{vmIncarnation{r.VM, r.Incarnation}, classOf(r)}
		i, seen := index[key]
		if !seen {
			i = len(counts)
			index[key] = i
			counts = append(counts, Count{
				VM: r.VM, Incarnation: r.Incarnation, Source: source,
				Kind: r.Kind, Service: r.Service, Operation: r.Operation, Constraint: r.Constraint,
				Result: key.class.result, Outcome: r.Outcome, From: from, To: to,
			})
		}
		counts[i].Records++
	}
	return counts
}

type countKey struct {
	incarnation vmIncarnation
	class       recordClass
}
