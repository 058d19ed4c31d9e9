package review

import (
	"slices"
	"strconv"
	"strings"

	"github.com/sirupsen/logrus"
)

// writeLines logs a line for each record in time order: changes, refusals and unknown outcomes at level info, the
// rest at level debug.
func writeLines(logger logrus.FieldLogger, records []*Record) {
	if logger == nil {
		return
	}
	if !debugEnabled(logger) {
		records = slices.DeleteFunc(records, func(r *Record) bool { return rank(r) > rankRefusal })
	}
	sortByTime(records)
	for _, r := range records {
		writeLine(logger, r)
	}
}

func writeLine(logger logrus.FieldLogger, r *Record) {
	entry := logger.WithFields(lineFields(r))
	if rank(r) > rankRefusal {
		entry.Debug(string(r.Kind))
		return
	}
	entry.Info(string(r.Kind))
}

func debugEnabled(logger logrus.FieldLogger) bool {
	switch l := logger.(type) {
	case *logrus.Logger:
		return l.IsLevelEnabled(logrus.DebugLevel)
	case *logrus.Entry:
		return l.Logger.IsLevelEnabled(logrus.DebugLevel)
	}
	return true
}

func lineFields(r *Record) logrus.Fields {
	fields := logrus.Fields{
		"at":         r.At.UTC().Format(timeFormat),
		"decision":   string(r.ID),
		"constraint": string(r.Constraint),
		"result":     r.Result,
		"revision":   uint64(r.Revision),
		"took":       r.Took.String(),
	}
	addText(fields, "parent", string(r.Parent))
	addText(fields, "service", string(r.Service))
	addText(fields, "operation", string(r.Operation))
	addText(fields, "origin", string(r.Origin))
	addText(fields, "outcome", r.Outcome)
	addText(fields, "trace", r.TraceID)
	addNumber(fields, "plan_epoch", r.PlanEpoch)
	addNumber(fields, "grant", r.Grant)
	addText(fields, "inputs", inputsText(r.Inputs))
	addText(fields, "candidates", candidatesText(r.Candidates))
	return fields
}

func addText(fields logrus.Fields, key, value string) {
	if value != "" {
		fields[key] = value
	}
}

func addNumber(fields logrus.Fields, key string, value uint64) {
	if value != 0 {
		fields[key] = value
	}
}

// inputsText returns inputs as name:value@age, separated by commas.
func inputsText(inputs []Input) string {
	var text strings.Builder
	for i, input := range inputs {
		if i > 0 {
			text.WriteByte(',')
		}
		text.WriteString(input.Name + ":" + input.Value)
		if input.Age > 0 {
			text.WriteString("@" + input.Age.String())
		}
	}
	return text.String()
}

// candidatesText returns candidates as name:reason, separated by commas. A leading "+" marks the chosen one.
func candidatesText(candidates []Candidate) string {
	var text strings.Builder
	for i, candidate := range candidates {
		if i > 0 {
			text.WriteByte(',')
		}
		if candidate.Taken {
			text.WriteByte('+')
		}
		text.WriteString(candidate.Name + ":" + candidate.Reason)
		if candidate.Score != 0 {
			text.WriteString("@" + strconv.FormatFloat(candidate.Score, 'g', 4, 64))
		}
	}
	return text.String()
}
