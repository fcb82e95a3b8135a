// Package parser reads a rules text: one line for a customer or rule, with a
// comment that names who asked for it. docs/operators/rules.md has the format.
package parser

import (
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/currantwood/currantwood"
)

const (
	// MaxTextBytes bounds a rules text; it has to fit into one
	// record of the log service and one frame of a link.
	MaxTextBytes = 2 << 20
	// maxProblems bounds the report on a text that is no rules text at all.
	maxProblems = 20
)

// Problem is one fault in a rules text.
type Problem struct {
	// Line and Column count from 1; Column counts characters.
	Line   int
	Column int
	// Expected says what should stand there.
	Expected string
	// Found is what stands there; empty at the end of the line.
	Found string
}

// String says where the fault is, what was expected and what was found.
func (p Problem) String() string {
	found := "the end of the line"
	if p.Found != "" {
		found = fmt.Sprintf("%q", p.Found)
	}
	return fmt.Sprintf("line %d, column %d: expected %s, found %s", p.Line, p.Column, p.Expected, found)
}

// Error lists the faults of a text in order of line, at most one a line.
type Error struct {
	// Problems is never empty.
	Problems []Problem
}

// Error puts each problem on a line of its own.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Parse reads a whole text. Its error is an *Error.
func Parse(text string) (currantwood.Rules, error) {
	if len(text) > MaxTextBytes {
		return currantwood.Rules{}, &Error{Problems: []Problem{{
			Line: 1, Column: 1,
			Expected: fmt.Sprintf("a text of at most %d bytes", MaxTextBytes),
			Found:    fmt.Sprintf("%d bytes", len(text)),
		}}}
	}
	p := &parsing{names: newNames()}
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
	p.checkCustomers()
	if len(p.problems) > 0 {
		return currantwood.Rules{}, &Error{Problems: p.problems}
	}
	return p.rules, nil
}

// parsing is the state of one run over a text.
type parsing struct {
	line     int
	rules    currantwood.Rules
	names    names
	problems []Problem
	// references are the customers that rules name, to be checked at the end.
	references []reference
}

// reference is a place where a rule names a customer.
type reference struct {
	customer currantwood.CustomerID
	line     int
	column   int
}

func (p *parsing) parseLine(line string) *Problem {
	if problem := checkCharacters(p.line, line); problem != nil {
		return problem
	}
	if content := strings.TrimSpace(line); content == "" || content[0] == '#' {
		return nil
	}
	body, comment, commented := strings.Cut(line, "#")
	words := split(body)
	end := word{column: column(line, len(body))}
	if len(words) == 0 || (words[0].text != "rule" && words[0].text != "customer") {
		return p.expected("the word rule or customer", words[0])
	}
	if len(words) == 1 {
		return p.expected("a name", end)
	}
	fields, problem := p.fields(words[2:])
	if problem != nil {
		return problem
	}
	fields.end = end
	if !commented {
		return p.expected("# asked-by NAME: REASON", end)
	}
	asker, reason, problem := p.asker(comment, column(line, len(body)+1))
	if problem != nil {
		return problem
	}
	if words[0].text == "customer" {
		return p.parseCustomer(words[1], fields, asker, reason)
	}
	return p.parseRule(words[1], fields, asker, reason)
}

// asker reads "asked-by NAME: REASON".
func (p *parsing) asker(comment string, at int) (name, reason string, problem *Problem) {
	comment = strings.ReplaceAll(comment, "\t", " ")
	trimmed := strings.TrimSpace(comment)
	rest, ok := strings.CutPrefix(trimmed, "asked-by ")
	if !ok {
		return "", "", p.expected("asked-by NAME: REASON after #", word{text: trimmed, column: at})
	}
	name, reason, _ = strings.Cut(rest, ":")
	name = strings.TrimSpace(name)
	if name == "" {
		return "", "", p.expected("the name of the person who asked for this line", word{text: trimmed, column: at})
	}
	return name, strings.TrimSpace(reason), nil
}

// checkCustomers reports rules for customers that the text does not declare.
func (p *parsing) checkCustomers() {
	if len(p.problems) > 0 {
		return
	}
	for _, r := range p.references {
		if _, ok := p.names.customers[r.customer]; ok {
			continue
		}
		p.problems = append(p.problems, Problem{
			Line: r.line, Column: r.column,
			Expected: "a customer that the text declares", Found: string(r.customer),
		})
	}
}

func (p *parsing) expected(what string, found word) *Problem {
	return &Problem{Line: p.line, Column: found.column, Expected: what, Found: found.text}
}

// checkCharacters refuses what a person could not see in an editor.
func checkCharacters(number int, line string) *Problem {
	for i, r := range line {
		broken := r == utf8.RuneError
		if r == '\t' || (unicode.IsPrint(r) && !broken) {
			continue
		}
		return &Problem{Line: number, Column: column(line, i), Expected: "printable UTF-8 text", Found: string(r)}
	}
	return nil
}

// word is a part of a line between blanks.
type word struct {
	text   string
	column int
}

func split(line string) []word {
	var words []word
	for at := 0; at < len(line); {
		if line[at] == ' ' || line[at] == '\t' {
			at++
			continue
		}
		length := strings.IndexAny(line[at:], " \t")
		if length < 0 {
			length = len(line) - at
		}
		words = append(words, word{text: line[at : at+length], column: column(line, at)})
		at += length
	}
	return words
}

// column turns a place in bytes into a column in characters.
func column(line string, at int) int {
	return utf8.RuneCountInString(line[:at]) + 1
}
