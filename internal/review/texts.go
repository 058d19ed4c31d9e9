package review

import (
	"strconv"
	"strings"
)

// maxTextBytes bounds each text of a record in a batch; longer ones are cut.
const maxTextBytes = 1024

// maxInputBytes bounds the value of an input: those of a plan are needed whole to compute it again.
const maxInputBytes = 64 << 10

// clean returns s as a batch may carry it: valid UTF-8 of bounded length.
func clean[T ~string](s T) string { return cleanTo(string(s), maxTextBytes) }

func cleanTo(s string, limit int) string {
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
	t.list = append(t.list, clean(s))
	n := uint32(len(t.list))
	t.numbers[s] = n
	return n
}

// textList reads numbers back. One that is out of range stands for the empty text.
type textList []string

func (t textList) at(number uint32) string {
	if number == 0 || int(number) > len(t) {
		return ""
	}
	return t[number-1]
}

// splitID takes the number off an id; plusOne is 0 if the id does not end in a plain number.
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
