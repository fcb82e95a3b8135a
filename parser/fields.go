package parser

import (
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/currantwood/currantwood"
)

// maxPriority is the highest priority that engines accept.
const maxPriority = 9

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)
	modelPattern  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]*$`)
	methodPattern = regexp.MustCompile(`^[A-Z]+$`)
	hashPattern   = regexp.MustCompile(`^[0-9a-f]{64}$`)
	pathPattern   = regexp.MustCompile(`^/[^?*]*\*?$`)

	customerKeys = []string{"key-hash", "weight", "max-streams"}
	ruleKeys     = []string{"customer", "method", "path", "model", "group", "class", "repeatable", "priority", "deadline", "window"}

	classes = []currantwood.Class{
		currantwood.ClassStream, currantwood.ClassCheck, currantwood.ClassLookup,
		currantwood.ClassBooking, currantwood.ClassPayment,
	}
)

// declaredNames holds the names and key hashes declared so far.
type declaredNames struct {
	customers map[currantwood.CustomerID]struct{}
	rules     map[currantwood.RuleID]struct{}
	keyHashes map[string]struct{}
}

func newDeclaredNames() declaredNames {
	return declaredNames{
		customers: make(map[currantwood.CustomerID]struct{}),
		rules:     make(map[currantwood.RuleID]struct{}),
		keyHashes: make(map[string]struct{}),
	}
}

// field is a key=value pair.
type field struct {
	key   string
	value word
	// pair is the whole key=value word.
	pair word
}

// fields holds the key=value pairs of a line. The methods that read values do not
// return problems: the first one is kept in problem, later ones are dropped.
type fields struct {
	parser *parser
	pairs  []field
	// end is the position after the fields: that of the # that begins the comment,
	// or the end of the line.
	end     word
	problem *Problem
}

// parseFields parses key=value words. It returns a problem if a word is malformed
// or a key occurs twice.
func (p *parser) parseFields(words []word) (*fields, *Problem) {
	f := &fields{parser: p}
	for _, w := range words {
		key, value, ok := strings.Cut(w.text, "=")
		if !ok || key == "" || value == "" {
			return nil, p.newProblem("key=value", w)
		}
		if _, duplicate := f.find(key); duplicate {
			return nil, p.newProblem("each key once", w)
		}
		valueColumn := w.column + len(key) + 1
		f.pairs = append(f.pairs, field{key: key, value: word{text: value, column: valueColumn}, pair: w})
	}
	return f, nil
}

func (f *fields) find(key string) (word, bool) {
	for _, field := range f.pairs {
		if field.key == key {
			return field.value, true
		}
	}
	return word{}, false
}

// rejectUnknownKeys reports the first key that is not in known.
func (f *fields) rejectUnknownKeys(known []string) {
	for _, field := range f.pairs {
		if !slices.Contains(known, field.key) {
			f.fail("one of the keys "+strings.Join(known, ", "), field.pair)
			return
		}
	}
}

// fail records a problem unless there is one already.
func (f *fields) fail(expected string, found word) {
	if f.problem == nil {
		f.problem = f.parser.newProblem(expected, found)
	}
}

// optionalText returns the value of a key, or "" if the key is missing. It records a
// problem if the value doesn't match the pattern.
func (f *fields) optionalText(key string, pattern *regexp.Regexp, expected string) string {
	value, ok := f.find(key)
	if ok && !pattern.MatchString(value.text) {
		f.fail(expected, value)
	}
	return value.text
}

// requiredText is optionalText for a key that must be present.
func (f *fields) requiredText(key string, pattern *regexp.Regexp, expected string) string {
	if _, ok := f.find(key); !ok {
		f.fail(key+"=", f.end)
		return ""
	}
	return f.optionalText(key, pattern, expected)
}

// optionalNumber returns a whole number from lowest to highest, or defaultValue if
// the key is missing.
func (f *fields) optionalNumber(key string, defaultValue, lowest, highest uint32) uint32 {
	value, ok := f.find(key)
	if !ok {
		return defaultValue
	}
	number, err := strconv.ParseUint(value.text, 10, 32)
	if err != nil || uint32(number) < lowest || uint32(number) > highest {
		f.fail("a whole number from "+strconv.Itoa(int(lowest))+" to "+strconv.Itoa(int(highest)), value)
	}
	return uint32(number)
}

// optionalDuration returns a duration such as 90s or 2h30m, in whole milliseconds,
// or 0 if the key is missing.
func (f *fields) optionalDuration(key string) time.Duration {
	value, ok := f.find(key)
	if !ok {
		return 0
	}
	duration, err := time.ParseDuration(value.text)
	if err != nil || duration < time.Millisecond || duration%time.Millisecond != 0 {
		f.fail("a duration of whole milliseconds above 0, such as 1500ms, 90s or 24h", value)
		return 0
	}
	return duration
}

func (f *fields) requiredClass() currantwood.Class {
	value, ok := f.find("class")
	if !ok {
		f.fail("class=", f.end)
		return 0
	}
	for _, class := range classes {
		if class.String() == value.text {
			return class
		}
	}
	f.fail("one of the classes stream, check, lookup, booking, payment", value)
	return 0
}

func (f *fields) requiredRepeatable() bool {
	value, ok := f.find("repeatable")
	if !ok {
		f.fail("repeatable=", f.end)
		return false
	}
	if value.text != "yes" && value.text != "no" {
		f.fail("yes or no", value)
	}
	return value.text == "yes"
}
