package review

import (
	"fmt"
	"strings"
	"time"
)

// sentence tells r in a line of plain English.
func sentence(r *Record) string {
	switch r.Kind {
	case KindLookup:
		return "lookup answered with " + orNothing(r.Result)
	case KindRequest:
		return fmt.Sprintf("request %s from %s: %s%s",
			r.Operation, orNothing(string(r.Origin)), orNothing(r.Outcome), afterText(r.Took))
	case KindAttempt:
		return attemptSentence(r)
	case KindPlan:
		return fmt.Sprintf("plan %d of %s computed: %s", r.PlanEpoch, orNothing(string(r.Service)), orNothing(r.Result))
	case KindShift:
		return "traffic of " + orNothing(string(r.Service)) + " shifted: " + orNothing(r.Result)
	case KindDrain:
		return "drain: " + orNothing(r.Result)
	case KindGrant:
		return fmt.Sprintf("grant %d: %s", r.Grant, orNothing(r.Result))
	case KindLeader:
		return "leader of the zone: " + orNothing(r.Result)
	case KindRevision:
		return fmt.Sprintf("revision %d: %s", r.Revision, orNothing(r.Result))
	case KindRefusal:
		return fmt.Sprintf("refused %s: %s", orNothing(string(r.Operation)), orNothing(r.Result))
	case KindStop:
		return "planned stop: " + orNothing(r.Result)
	}
	return string(r.Kind) + ": " + orNothing(r.Result)
}

func attemptSentence(r *Record) string {
	text := "attempt sent to " + orNothing(r.Result)
	if r.Outcome != "" {
		text += ": " + r.Outcome
	}
	return text + afterText(r.Took)
}

func afterText(took time.Duration) string {
	if took == 0 {
		return ""
	}
	return " after " + shortDuration(took)
}

func orNothing(text string) string {
	if text == "" {
		return "(not recorded)"
	}
	return text
}

// shortDuration rounds to three digits or so.
func shortDuration(d time.Duration) string {
	switch {
	case d >= time.Second:
		return d.Round(10 * time.Millisecond).String()
	case d >= time.Millisecond:
		return d.Round(10 * time.Microsecond).String()
	}
	return d.Round(100 * time.Nanosecond).String()
}

// reasons tells what r rested on and what was not taken, one line each.
func reasons(r *Record) []string {
	var lines []string
	if r.Constraint != "" && r.Constraint != ConstraintNone {
		lines = append(lines, "bound by: "+string(r.Constraint))
	}
	if len(r.Inputs) > 0 {
		var known []string
		for _, input := range r.Inputs {
			known = append(known, inputText(input))
		}
		lines = append(lines, "known then: "+strings.Join(known, "; "))
	}
	var taken, passed []string
	for _, c := range r.Candidates {
		if c.Taken {
			taken = append(taken, candidateText(c))
		} else {
			passed = append(passed, candidateText(c))
		}
	}
	if len(taken) > 0 {
		lines = append(lines, "taken: "+strings.Join(taken, ", "))
	}
	if len(passed) > 0 {
		lines = append(lines, "not taken: "+strings.Join(passed, ", "))
	}
	return lines
}

// maxInputText is the longest input that a story shows, bytes.
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
