// Package differ makes and applies the line differences in which heads travel
// between processes. It is made for rules texts: nearly every line is unique,
// and a change touches few of them. docs/design/published-rules.md has the
// format.
package differ

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

const (
	// copyMark starts "=FIRST COUNT": lines of the old text, counted from 0.
	copyMark = '='
	// insertMark starts "+COUNT", which that many new lines follow.
	insertMark = '+'
)

// Encode returns what turns the old text into the changed one.
func Encode(old, changed string) string {
	oldLines := lines(old)
	places := make(map[string]int, len(oldLines))
	for i, line := range oldLines {
		places[line] = i
	}
	e := encoding{old: oldLines}
	for _, line := range lines(changed) {
		e.add(line, places)
	}
	e.flush()
	return e.out.String()
}

// encoding gathers runs of lines. At most one of count and inserted is not
// empty.
type encoding struct {
	old []string
	out strings.Builder
	// first and count are the run of old lines to copy.
	first, count int
	inserted     []string
}

func (e *encoding) add(line string, places map[string]int) {
	if following := e.first + e.count; e.count > 0 && following < len(e.old) && e.old[following] == line {
		e.count++
		return
	}
	at, known := places[line]
	if !known {
		if e.count > 0 {
			e.flush()
		}
		e.inserted = append(e.inserted, line)
		return
	}
	e.flush()
	e.first, e.count = at, 1
}

func (e *encoding) flush() {
	if e.count > 0 {
		e.out.WriteString(string(copyMark) + strconv.Itoa(e.first) + " " + strconv.Itoa(e.count) + "\n")
	}
	if len(e.inserted) > 0 {
		e.out.WriteString(string(insertMark) + strconv.Itoa(len(e.inserted)) + "\n" + strings.Join(e.inserted, ""))
	}
	e.first, e.count, e.inserted = 0, 0, nil
}

// Apply returns the new text. It fails where the difference does not fit the
// old one; that it fits does not show that it was made for it.
func Apply(old, difference string) (string, error) {
	oldLines := lines(old)
	rest := lines(difference)
	var out strings.Builder
	for len(rest) > 0 {
		head := strings.TrimSuffix(rest[0], "\n")
		rest = rest[1:]
		switch {
		case head != "" && head[0] == copyMark:
			first, count, _ := strings.Cut(head[1:], " ")
			from, err1 := strconv.Atoi(first)
			n, err2 := strconv.Atoi(count)
			if err1 != nil || err2 != nil || from < 0 || n < 0 || from > len(oldLines) || n > len(oldLines)-from {
				return "", errors.Errorf("apply difference: %q does not fit a text of %d lines", head, len(oldLines))
			}
			out.WriteString(strings.Join(oldLines[from:from+n], ""))
		case head != "" && head[0] == insertMark:
			n, err := strconv.Atoi(head[1:])
			if err != nil || n < 0 || n > len(rest) {
				return "", errors.Errorf("apply difference: %q with %d lines left", head, len(rest))
			}
			out.WriteString(strings.Join(rest[:n], ""))
			rest = rest[n:]
		default:
			return "", errors.Errorf("apply difference: %q is no operation", head)
		}
	}
	return out.String(), nil
}

// lines splits a text after each line feed.
func lines(text string) []string {
	if text == "" {
		return nil
	}
	split := strings.SplitAfter(text, "\n")
	if split[len(split)-1] == "" {
		split = split[:len(split)-1]
	}
	return split
}
