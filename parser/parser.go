// Package parser parses and validates the text of customers and routing rules.
// Each line that is neither blank nor a comment declares a customer or a rule and
// ends with a comment that names the person who asked for it.
// docs/operators/rules.md describes the format.
package parser

import (
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/currantwood/currantwood"
)

const (
	// MaxTextBytes is the maximum size of a rules text. The text must fit into one
	// record of the log service and one frame of a link (see maxFrameBytes in
	// package linker).
	MaxTextBytes = 2 << 20
	// maxProblems is the number of problems after which Parse stops reading. It
	// keeps the report short if the input is not a rules text. It doesn't limit the
	// undeclared customers, which are checked if there are no other problems.
	maxProblems = 20
)

// Problem is a syntax error or an invalid value in a rules text.
type Problem struct {
	// Line and Column count from 1. Column counts Unicode code points.
	Line   int
	Column int
	// Expected describes the text that the parser expected.
	Expected string
	// Found is what the parser found, usually the text at the position. It is empty
	// if the line ends there, or if its fields end there and a comment follows.
	Found string
}

// String returns the position, the expected text and the text found.
func (p Problem) String() string {
	found := "the end of the line"
	if p.Found != "" {
		found = fmt.Sprintf("%q", p.Found)
	}
	return fmt.Sprintf("line %d, column %d: expected %s, found %s", p.Line, p.Column, p.Expected, found)
}

// Error lists the problems of a text, ordered by line, at most one per line.
type Error struct {
	// Problems is never empty.
	Problems []Problem
}

// Error returns the problems, one per line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Parse parses a rules text. A non-nil error is an *Error.
func Parse(text string) (currantwood.Rules, error) {
	if len(text) > MaxTextBytes {
		return currantwood.Rules{}, &Error{Problems: []Problem{{
			Line: 1, Column: 1,
			Expected: fmt.Sprintf("a text of at most %d bytes", MaxTextBytes),
			Found:    fmt.Sprintf("%d bytes", len(text)),
		}}}
	}
	p := &parser{declared: newDeclaredNames()}
	number := 0
	for line := range strings.Lines(text) {
		number++
		p.line = number
		problem := p.parseLine(strings.TrimRight(line, "\r\n"))
		if problem == nil {
			continue
		}
		p.problems = append(p.problems, *problem)
		if len(p.problems) == maxProblems {
			break
		}
	}
	p.checkCustomerReferences()
	if len(p.problems) > 0 {
		return currantwood.Rules{}, &Error{Problems: p.problems}
	}
	return p.rules, nil
}

// parser holds the state of one call to Parse.
type parser struct {
	// line is the number of the current line, from 1.
	line     int
	rules    currantwood.Rules
	declared declaredNames
	problems []Problem
	// references are checked at the end, since a rule may precede its customer.
	references []reference
}

// reference is a use of a customer in a rule.
type reference struct {
	customer currantwood.CustomerID
	line     int
	column   int
}

func (p *parser) parseLine(line string) *Problem {
	if problem := checkCharacters(p.line, line); problem != nil {
		return problem
	}
	if content := strings.TrimSpace(line); content == "" || content[0] == '#' {
		return nil
	}
	body, comment, hasComment := strings.Cut(line, "#")
	words := splitWords(body)
	end := word{column: columnOf(line, len(body))}
	if len(words) == 0 || (words[0].text != "rule" && words[0].text != "customer") {
		return p.newProblem("the word rule or customer", words[0])
	}
	if len(words) == 1 {
		return p.newProblem("a name", end)
	}
	fields, problem := p.parseFields(words[2:])
	if problem != nil {
		return problem
	}
	fields.end = end
	if !hasComment {
		return p.newProblem("# asked-by NAME: REASON", end)
	}
	askedBy, reason, problem := p.parseAskedBy(comment, columnOf(line, len(body)+1))
	if problem != nil {
		return problem
	}
	if words[0].text == "customer" {
		return p.parseCustomer(words[1], fields, askedBy, reason)
	}
	return p.parseRule(words[1], fields, askedBy, reason)
}

// parseAskedBy parses the comment of a line, "asked-by NAME" or "asked-by NAME:
// REASON". The comment is the text after #, which begins at column.
func (p *parser) parseAskedBy(comment string, column int) (name, reason string, problem *Problem) {
	comment = strings.ReplaceAll(comment, "\t", " ")
	trimmed := strings.TrimSpace(comment)
	rest, ok := strings.CutPrefix(trimmed, "asked-by ")
	if !ok {
		return "", "", p.newProblem("asked-by NAME: REASON after #", word{text: trimmed, column: column})
	}
	name, reason, _ = strings.Cut(rest, ":")
	name = strings.TrimSpace(name)
	if name == "" {
		return "", "", p.newProblem("the name of the person who asked for this line", word{text: trimmed, column: column})
	}
	return name, strings.TrimSpace(reason), nil
}

// checkCustomerReferences reports rules that name an undeclared customer. It does
// nothing if the text has other problems, as these may hide declarations.
func (p *parser) checkCustomerReferences() {
	if len(p.problems) > 0 {
		return
	}
	for _, r := range p.references {
		if _, ok := p.declared.customers[r.customer]; ok {
			continue
		}
		p.problems = append(p.problems, Problem{
			Line: r.line, Column: r.column,
			Expected: "a customer that the text declares", Found: string(r.customer),
		})
	}
}

// newProblem returns a problem at the position of found in the current line.
func (p *parser) newProblem(expected string, found word) *Problem {
	return &Problem{Line: p.line, Column: found.column, Expected: expected, Found: found.text}
}

// checkCharacters rejects invalid UTF-8 and unprintable characters other than tabs,
// as an editor does not show them.
func checkCharacters(lineNumber int, line string) *Problem {
	for i, r := range line {
		invalid := r == utf8.RuneError
		if r == '\t' || (unicode.IsPrint(r) && !invalid) {
			continue
		}
		return &Problem{Line: lineNumber, Column: columnOf(line, i), Expected: "printable UTF-8 text", Found: string(r)}
	}
	return nil
}

// word is a part of a line between blanks, with the column at which it starts.
type word struct {
	text   string
	column int
}

// splitWords splits a line at spaces and tabs.
func splitWords(line string) []word {
	var words []word
	for start := 0; start < len(line); {
		if line[start] == ' ' || line[start] == '\t' {
			start++
			continue
		}
		length := strings.IndexAny(line[start:], " \t")
		if length < 0 {
			length = len(line) - start
		}
		words = append(words, word{text: line[start : start+length], column: columnOf(line, start)})
		start += length
	}
	return words
}

// columnOf converts a byte offset to a column in Unicode code points, from 1.
func columnOf(line string, offset int) int {
	return utf8.RuneCountInString(line[:offset]) + 1
}
