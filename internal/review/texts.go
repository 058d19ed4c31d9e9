package review

import (
	"strconv"
	"strings"
)

// maxTextBytes is the maximum length of a text of a record in a batch. Longer texts are truncated.
const maxTextBytes = 1024

// maxInputBytes is the maximum length of an input value. The inputs of a plan are needed in full to recompute it.
const maxInputBytes = 64 << 10

// sanitize returns s as valid UTF-8 of bounded length, as a batch requires it.
func sanitize[T ~string](s T) string { return sanitizeTo(string(s), maxTextBytes) }

func sanitizeTo(s string, limit int) string {
	return strings.ToValidUTF8(s[:min(len(s), limit)], "?")
}

// texts numbers the texts of a batch from 1; 0 is the empty text.
type texts struct {
	numbers map[string]uint32
	list    []string
}

func newTexts() *texts { return &texts{numbers: make(map[string]uint32)} }

func (t *texts) number(s string) uint32 {
	if s == "" {
		return 0
	}
	if n, known := t.numbers[s]; known {
		return n
	}
	t.list = append(t.list, sanitize(s))
	n := uint32(len(t.list))
	t.numbers[s] = n
	return n
}

// textList maps numbers to texts. A number out of range maps to the empty text.
type textList []string

func (t textList) at(number uint32) string {
	if number == 0 || int(number) > len(t) {
		return ""
	}
	return t[number-1]
}

// splitID splits an id into a prefix and its trailing number. plusOne is that number plus 1, or 0 if the id does
// not end in a plain number.
func splitID(id ID) (prefix string, plusOne uint64) {
	s := string(id)
	cut := strings.LastIndexByte(s, '.') + 1
	digits := s[cut:]
	if cut == 0 || digits == "" || digits[0] == '0' && len(digits) > 1 {
		return s, 0
	}
	number, err := strconv.ParseUint(digits, 10, 63)
	if err != nil || digits[0] == '+' {
		return s, 0
	}
	return s[:cut], number + 1
}

func joinID(prefix string, plusOne uint64) ID {
	if plusOne == 0 {
		return ID(prefix)
	}
	var buffer [96]byte
	text := append(buffer[:0], prefix...)
	return ID(strconv.AppendUint(text, plusOne-1, 10))
}
