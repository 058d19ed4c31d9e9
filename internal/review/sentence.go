package review

import (
	"fmt"
	"strings"
	"time"
)

// sentence describes r in one line of plain English.
func sentence(r *Record) string {
	switch r.Kind {
	case KindLookup:
		return "lookup answered with " + orNotRecorded(r.Result)
	case KindRequest:
		return fmt.Sprintf("request %s from %s: %s%s",
			r.Operation, orNotRecorded(string(r.Origin)), orNotRecorded(r.Outcome), durationSuffix(r.Took))
	case KindAttempt:
		return attemptSentence(r)
	case KindPlan:
		return fmt.Sprintf("plan %d of %s computed: %s", r.PlanEpoch, orNotRecorded(string(r.Service)), orNotRecorded(r.Result))
	case KindShift:
		return "traffic of " + orNotRecorded(string(r.Service)) + " shifted: " + orNotRecorded(r.Result)
	case KindDrain:
		return "drain: " + orNotRecorded(r.Result)
	case KindGrant:
		return fmt.Sprintf("grant %d: %s", r.Grant, orNotRecorded(r.Result))
	case KindLeader:
		return "leader of the zone: " + orNotRecorded(r.Result)
	case KindRevision:
		return fmt.Sprintf("revision %d: %s", r.Revision, orNotRecorded(r.Result))
	case KindRefusal:
		return fmt.Sprintf("refused %s: %s", orNotRecorded(string(r.Operation)), orNotRecorded(r.Result))
	case KindStop:
		return "planned stop: " + orNotRecorded(r.Result)
	}
	return string(r.Kind) + ": " + orNotRecorded(r.Result)
}

func attemptSentence(r *Record) string {
	text := "attempt sent to " + orNotRecorded(r.Result)
	if r.Outcome != "" {
		text += ": " + r.Outcome
	}
	return text + durationSuffix(r.Took)
}

func durationSuffix(took time.Duration) string {
	if took == 0 {
		return ""
	}
	return " after " + shortDuration(took)
}

func orNotRecorded(text string) string {
	if text == "" {
		return "(not recorded)"
	}
	return text
}

// shortDuration formats d rounded to about three significant digits.
func shortDuration(d time.Duration) string {
	switch {
	case d >= time.Second:
		return d.Round(10 * time.Millisecond).String()
	case d >= time.Millisecond:
		return d.Round(10 * time.Microsecond).String()
	}
	return d.Round(100 * time.Nanosecond).String()
}

// reasonLines returns the constraint, the inputs, and the chosen and rejected candidates of r, one line each.
func reasonLines(r *Record) []string {
	var lines []string
	if r.Constraint != "" && r.Constraint != ConstraintNone {
		lines = append(lines, "bound by: "+string(r.Constraint))
	}
	if len(r.Inputs) > 0 {
		var inputs []string
		for _, input := range r.Inputs {
			inputs = append(inputs, inputText(input))
		}
		lines = append(lines, "known then: "+strings.Join(inputs, "; "))
	}
	var chosen, rejected []string
	for _, c := range r.Candidates {
		if c.Taken {
			chosen = append(chosen, candidateText(c))
		} else {
			rejected = append(rejected, candidateText(c))
		}
	}
	if len(chosen) > 0 {
		lines = append(lines, "taken: "+strings.Join(chosen, ", "))
	}
	if len(rejected) > 0 {
		lines = append(lines, "not taken: "+strings.Join(rejected, ", "))
	}
	return lines
}

// maxInputText is the maximum length of an input that an explanation shows, in bytes.
const maxInputText = 200

func inputText(i Input) string {
	text := i.Name + " " + i.Value
	if len(i.Value) > maxInputText {
		text = fmt.Sprintf("%s (%d bytes, in --format json)", i.Name, len(i.Value))
	}
	if i.Age > 0 {
		text += " (" + shortDuration(i.Age) + " old)"
	}
	return text
}

func candidateText(c Candidate) string {
	text := c.Name
	if c.Reason != "" {
		text += " (" + c.Reason
		if c.Score != 0 {
			text += fmt.Sprintf(", %.4g", c.Score)
		}
		text += ")"
	}
	return text
}
