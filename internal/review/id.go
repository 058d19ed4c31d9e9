package review

import (
	"strconv"
	"strings"

	"github.com/azureflow/azureflow/internal/vm"
)

// maxIDBytes is the maximum length of an id that is parsed.
const maxIDBytes = 256

// MalformedIDError reports an id that does not have the form VM.INCARNATION.SEQUENCE.
type MalformedIDError struct{ Text string }

// Error implements error.
func (e *MalformedIDError) Error() string {
	return "malformed decision id " + strconv.Quote(e.Text) + ": expected VM.INCARNATION.SEQUENCE"
}

// ParsedID is an ID split into its parts.
type ParsedID struct {
	VM          vm.Name
	Incarnation vm.Incarnation
	Sequence    uint64
}

// Parse splits id into its parts. Errors: *MalformedIDError.
func (id ID) Parse() (ParsedID, error) {
	text := string(id)
	if len(text) > maxIDBytes {
		return ParsedID{}, &MalformedIDError{Text: text[:maxIDBytes]}
	}
	last := strings.LastIndexByte(text, '.')
	if last <= 0 {
		return ParsedID{}, &MalformedIDError{Text: text}
	}
	middle := strings.LastIndexByte(text[:last], '.')
	if middle <= 0 {
		return ParsedID{}, &MalformedIDError{Text: text}
	}
	sequence, err := strconv.ParseUint(text[last+1:], 10, 64)
	if err != nil {
		return ParsedID{}, &MalformedIDError{Text: text}
	}
	incarnation, err := strconv.ParseUint(text[middle+1:last], 10, 64)
	if err != nil {
		return ParsedID{}, &MalformedIDError{Text: text}
	}
	return ParsedID{
		VM:          vm.Name(text[:middle]),
		Incarnation: vm.Incarnation(incarnation),
		Sequence:    sequence,
	}, nil
}

// idPrefix returns the text before the sequence number in the ids of one VM incarnation.
func idPrefix(name vm.Name, incarnation vm.Incarnation) string {
	return string(name) + "." + strconv.FormatUint(uint64(incarnation), 10) + "."
}

// sequenceOf returns the sequence number of id. It returns false if id does not start with prefix.
func sequenceOf(id ID, prefix string) (uint64, bool) {
	if len(id) <= len(prefix) || string(id[:len(prefix)]) != prefix {
		return 0, false
	}
	var n uint64
	for _, c := range []byte(id[len(prefix):]) {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + uint64(c-'0')
	}
	return n, true
}
