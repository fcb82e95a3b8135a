// Package differ encodes and applies line diffs between heads, which processes
// exchange. It is designed for rules texts, where nearly every line is unique and a
// change touches few lines. docs/design/published-rules.md specifies the format.
package differ

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

const (
	// copyPrefix starts the operation "=FIRST COUNT", which copies COUNT lines of
	// the old text from line FIRST on, counted from 0.
	copyPrefix = '='
	// insertPrefix starts the operation "+COUNT", which inserts the COUNT lines
	// that follow it.
	insertPrefix = '+'
)

// Encode returns a diff that turns old into changed.
func Encode(old, changed string) string {
	oldLines := splitLines(old)
	lineIndexes := make(map[string]int, len(oldLines))
	for i, line := range oldLines {
		lineIndexes[line] = i
	}
	e := encoder{old: oldLines}
	for _, line := range splitLines(changed) {
		e.add(line, lineIndexes)
	}
	e.flush()
	return e.out.String()
}

// encoder groups lines into operations. At most one of count and inserted is
// non-zero.
type encoder struct {
	old []string
	out strings.Builder
	// first and count describe the range of old lines to copy.
	first, count int
	inserted     []string
}

// add appends a line to the current operation, or flushes that and starts another.
func (e *encoder) add(line string, lineIndexes map[string]int) {
	if following := e.first + e.count; e.count > 0 && following < len(e.old) && e.old[following] == line {
		e.count++
		return
	}
	index, known := lineIndexes[line]
	if !known {
		if e.count > 0 {
			e.flush()
		}
		e.inserted = append(e.inserted, line)
		return
	}
	e.flush()
	e.first, e.count = index, 1
}

// flush writes the current operation, if any.
func (e *encoder) flush() {
	if e.count > 0 {
		e.out.WriteString(string(copyPrefix) + strconv.Itoa(e.first) + " " + strconv.Itoa(e.count) + "\n")
	}
	if len(e.inserted) > 0 {
		e.out.WriteString(string(insertPrefix) + strconv.Itoa(len(e.inserted)) + "\n" + strings.Join(e.inserted, ""))
	}
	e.first, e.count, e.inserted = 0, 0, nil
}

// Apply returns the text that the diff makes of old. It fails if the diff is
// malformed or refers to lines that old does not have. Success does not prove
// that the diff was made for old.
func Apply(old, diff string) (string, error) {
	oldLines := splitLines(old)
	rest := splitLines(diff)
	var out strings.Builder
	for len(rest) > 0 {
		operation := strings.TrimSuffix(rest[0], "\n")
		rest = rest[1:]
		switch {
		case operation != "" && operation[0] == copyPrefix:
			first, count, _ := strings.Cut(operation[1:], " ")
			from, err1 := strconv.Atoi(first)
			n, err2 := strconv.Atoi(count)
			if err1 != nil || err2 != nil || from < 0 || n < 0 || from > len(oldLines) || n > len(oldLines)-from {
				return "", errors.Errorf("apply diff: invalid copy operation %q, the old text has %d lines", operation, len(oldLines))
			}
			out.WriteString(strings.Join(oldLines[from:from+n], ""))
		case operation != "" && operation[0] == insertPrefix:
			n, err := strconv.Atoi(operation[1:])
			if err != nil || n < 0 || n > len(rest) {
				return "", errors.Errorf("apply diff: invalid operation %q, %d lines follow", operation, len(rest))
			}
			out.WriteString(strings.Join(rest[:n], ""))
			rest = rest[n:]
		default:
			return "", errors.Errorf("apply diff: unknown operation %q", operation)
		}
	}
	return out.String(), nil
}

// splitLines splits a text after each line feed; the last line may lack one.
func splitLines(text string) []string {
	if text == "" {
		return nil
	}
	split := strings.SplitAfter(text, "\n")
	if split[len(split)-1] == "" {
		split = split[:len(split)-1]
	}
	return split
}
