package steering

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/tailscale/hujson"
)

// Limits on a file that operators write.
const (
	maxFileBytes = 256 << 10
	maxFileDepth = 32 // nested objects and arrays
)

// source is a file of JSON with comments: its text and the positions of its values.
type source struct {
	file    string
	text    []byte
	offsets map[string]int  // byte offset of the value at a path
	invalid map[string]bool // paths whose value is already reported as a fault
}

// position returns the position of a byte offset.
func (s *source) position(offset int) Position {
	offset = min(max(offset, 0), len(s.text))
	before := s.text[:offset]
	return Position{
		File:   s.file,
		Line:   1 + bytes.Count(before, []byte("\n")),
		Column: offset - bytes.LastIndexByte(before, '\n'),
	}
}

// positionOf returns the position of the value at path, or of the nearest enclosing value.
func (s *source) positionOf(path string) Position {
	for {
		if offset, ok := s.offsets[path]; ok {
			return s.position(offset)
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return s.position(s.offsets[""])
		}
		path = path[:cut]
	}
}

// parse returns the syntax tree of s, or adds a fault and returns false.
func (s *source) parse(report *Report) (hujson.Value, bool) {
	if len(s.text) > maxFileBytes {
		found := fmt.Sprintf("%d bytes", len(s.text))
		report.fault(s.position(0), "", found, fmt.Sprintf("at most %d bytes", maxFileBytes))
		return hujson.Value{}, false
	}
	if offset := findExcessNesting(s.text); offset >= 0 {
		report.fault(s.position(offset), "", "deeper nesting", fmt.Sprintf("at most %d levels", maxFileDepth))
		return hujson.Value{}, false
	}
	value, err := hujson.Parse(s.text)
	if err != nil {
		s.addSyntaxFault(report, err)
		return hujson.Value{}, false
	}
	return value, true
}

// addSyntaxFault parses the position from the parser's message, which contains it only as text.
func (s *source) addSyntaxFault(report *Report, err error) {
	p := Position{File: s.file, Line: 1, Column: 1}
	message := err.Error()
	if n, _ := fmt.Sscanf(message, "hujson: line %d, column %d:", &p.Line, &p.Column); n == 2 {
		_, message, _ = strings.Cut(message, ": ")
		_, message, _ = strings.Cut(message, ": ")
	}
	report.fault(p, "", message, "JSON with comments and trailing commas")
}

// findExcessNesting returns the offset at which nesting goes beyond maxFileDepth, or -1. It bounds the
// recursion of the parser.
func findExcessNesting(text []byte) int {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i = skipString(text, i)
		case '/':
			i = skipComment(text, i)
		case '{', '[':
			if depth++; depth > maxFileDepth {
				return i
			}
		case '}', ']':
			depth--
		}
	}
	return -1
}

// skipString returns the offset of the quote that ends the string beginning at i.
func skipString(text []byte, i int) int {
	for i++; i < len(text) && text[i] != '"'; i++ {
		if text[i] == '\\' {
			i++
		}
	}
	return i
}

// skipComment returns the offset of the last byte of the comment beginning at i, or i.
func skipComment(text []byte, i int) int {
	end := ""
	switch {
	case bytes.HasPrefix(text[i:], []byte("//")):
		end = "\n"
	case bytes.HasPrefix(text[i:], []byte("/*")):
		end = "*/"
	default:
		return i
	}
	n := bytes.Index(text[i+2:], []byte(end))
	if n < 0 {
		return len(text)
	}
	return i + 2 + n + len(end) - 1
}
