// Package comparer shows operators what a change of the rules does, as a diff of
// the texts and by its effect on recorded requests.
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
	// contextLines is the number of unchanged lines around a change.
	contextLines = 1
	// maxTraceLineBytes bounds the length of a line of a trace.
	maxTraceLineBytes = 1 << 20
	// maxExampleCustomers bounds Effect.Customers.
	maxExampleCustomers = 3
)

// UnifiedDiff returns a unified diff of two texts, which is empty if they are equal.
func UnifiedDiff(from, to, fromName, toName string) (string, error) {
	diff, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(from), B: difflib.SplitLines(to),
		FromFile: fromName, ToFile: toName, Context: contextLines,
	})
	return diff, errors.Wrap(err, "compare texts")
}

// Effect counts the recorded requests that match the rule Before in the old rules
// and the rule After in the new ones.
type Effect struct {
	// Before and After differ; one is empty if no rule matches.
	Before, After currantwood.RuleID
	Requests      int
	// Customers holds up to maxExampleCustomers of the customers affected.
	Customers []currantwood.CustomerID
}

// String describes the effect in one line.
func (e Effect) String() string {
	return fmt.Sprintf("%d requests move from %s to %s, customers such as %v", e.Requests, ruleName(e.Before), ruleName(e.After), e.Customers)
}

// Result is the effect of a change on a whole trace. Requests counts all its
// requests, also those that keep their rule.
type Result struct {
	Requests int
	// Effects is in order of first appearance.
	Effects []Effect
}

// traceRecord holds the fields of a trace line that select its rule.
type traceRecord struct {
	Customer currantwood.CustomerID `json:"customer"`
	Method   string                 `json:"method"`
	Path     string                 `json:"path"`
	Model    currantwood.ModelID    `json:"model"`
}

const (
	// defaultMethod and defaultPath apply to lines without a method or path.
	// Traces of generation requests leave them out; the requests are matched
	// as completions.
	defaultMethod = "POST"
	defaultPath   = "/v1/completions"
)

// CompareTrace matches each request of a trace in JSON Lines format against both sets
// of rules, and counts the requests that match a rule with another ID. It sends
// nothing. A line without a customer is not a request.
func CompareTrace(trace io.Reader, before, after currantwood.Rules) (Result, error) {
	old, next := matcher.New(before), matcher.New(after)
	indexes := make(map[[2]currantwood.RuleID]int)
	var result Result
	scanner := bufio.NewScanner(trace)
	scanner.Buffer(nil, maxTraceLineBytes)
	for line := 1; scanner.Scan(); line++ {
		if len(scanner.Bytes()) == 0 {
			continue
		}
		request, err := readRecord(scanner.Bytes())
		if err != nil {
			return Result{}, errors.Wrapf(err, "trace line %d", line)
		}
		if request.Customer == "" {
			continue // such as the header line of the trace
		}
		result.Requests++
		ruleBefore, _ := old.Match(request)
		ruleAfter, _ := next.Match(request)
		if ruleBefore.ID == ruleAfter.ID {
			continue
		}
		key := [2]currantwood.RuleID{ruleBefore.ID, ruleAfter.ID}
		index, known := indexes[key]
		if !known {
			index = len(result.Effects)
			indexes[key] = index
			result.Effects = append(result.Effects, Effect{Before: ruleBefore.ID, After: ruleAfter.ID})
		}
		result.Effects[index].add(request.Customer)
	}
	return result, errors.Wrap(scanner.Err(), "read trace")
}

func readRecord(line []byte) (matcher.Request, error) {
	r := traceRecord{Method: defaultMethod, Path: defaultPath}
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
	if len(e.Customers) < maxExampleCustomers {
		e.Customers = append(e.Customers, customer)
	}
}

func ruleName(id currantwood.RuleID) string {
	if id == "" {
		return "no rule"
	}
	return "rule " + string(id)
}
