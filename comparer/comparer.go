// Package comparer shows operators what a change of the rules does: line by
// line, and to recorded requests.
package comparer

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/matcher"
	"github.com/pkg/errors"
	"github.com/pmezard/go-difflib/difflib"
)

const (
	// contextLines are shown around a change.
	contextLines = 1
	// maxTraceLine bounds one line of a trace.
	maxTraceLine = 1 << 20
	// maxExamples bounds the examples of one effect.
	maxExamples = 3
)

// Lines returns the difference of two texts in the unified form, empty where
// they are the same.
func Lines(from, to, fromName, toName string) (string, error) {
	diff, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(from), B: difflib.SplitLines(to),
		FromFile: fromName, ToFile: toName, Context: contextLines,
	})
	return diff, errors.Wrap(err, "compare texts")
}

// Effect is what a change does to the recorded requests that went by one rule
// and go by another.
type Effect struct {
	// Before and After are empty where no rule matches.
	Before, After currantwood.RuleID
	Requests      int
	// Customers are some of those concerned.
	Customers []currantwood.CustomerID
}

// String says what changes and for how many.
func (e Effect) String() string {
	return fmt.Sprintf("%d requests move from %s to %s, customers such as %v", e.Requests, ruleName(e.Before), ruleName(e.After), e.Customers)
}

// Result is the effect on a whole trace.
type Result struct {
	Requests int
	// Effects are in order of first appearance.
	Effects []Effect
}

// record is what of a line of a trace decides on its rule.
type record struct {
	Customer currantwood.CustomerID `json:"customer"`
	Method   string                 `json:"method"`
	Path     string                 `json:"path"`
	Model    currantwood.ModelID    `json:"model"`
}

const (
	// defaultMethod and defaultPath stand in for those that a trace of
	// generations leaves out.
	defaultMethod = "POST"
	defaultPath   = "/v1/completions"
)

// Replay matches each request of a trace (JSON Lines) by both rules texts.
func Replay(trace io.Reader, before, after currantwood.Rules) (Result, error) {
	old, next := matcher.New(before), matcher.New(after)
	places := make(map[[2]currantwood.RuleID]int)
	var result Result
	scanner := bufio.NewScanner(trace)
	scanner.Buffer(nil, maxTraceLine)
	for line := 1; scanner.Scan(); line++ {
		if len(scanner.Bytes()) == 0 {
			continue
		}
		request, err := readRecord(scanner.Bytes())
		if err != nil {
			return Result{}, errors.Wrapf(err, "trace line %d", line)
		}
		if request.Customer == "" {
			continue // the trace's own header
		}
		result.Requests++
		was, _ := old.Match(request)
		is, _ := next.Match(request)
		if was.ID == is.ID {
			continue
		}
		key := [2]currantwood.RuleID{was.ID, is.ID}
		at, known := places[key]
		if !known {
			at = len(result.Effects)
			places[key] = at
			result.Effects = append(result.Effects, Effect{Before: was.ID, After: is.ID})
		}
		result.Effects[at].add(request.Customer)
	}
	return result, errors.Wrap(scanner.Err(), "read trace")
}

func readRecord(line []byte) (matcher.Request, error) {
	r := record{Method: defaultMethod, Path: defaultPath}
	if err := json.Unmarshal(line, &r); err != nil {
		return matcher.Request{}, err
	}
	return matcher.Request{Customer: r.Customer, Method: r.Method, Path: r.Path, Model: r.Model}, nil
}

func (e *Effect) add(customer currantwood.CustomerID) {
	e.Requests++
	for _, known := range e.Customers {
		if known == customer {
			return
		}
	}
	if len(e.Customers) < maxExamples {
		e.Customers = append(e.Customers, customer)
	}
}

func ruleName(id currantwood.RuleID) string {
	if id == "" {
		return "no rule"
	}
	return "rule " + string(id)
}
