package review

import (
	"strconv"
	"strings"

	"github.com/sirupsen/logrus"
)

// writeLine writes r as one line: changes, refusals and unknowns at level info, the rest at debug.
func writeLine(logger logrus.FieldLogger, r *Record) {
	if logger == nil {
		return
	}
	if rank(r) == rankRoutine && !debugEnabled(logger) {
		return
	}
	entry := logger.WithFields(lineFields(r))
	if rank(r) == rankRoutine {
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

// candidatesText returns candidates as name:reason, separated by commas; "+" marks the taken one.
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
