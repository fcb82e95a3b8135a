package parser

import (
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/currantwood/currantwood"
)

// maxPriority is the highest priority that engines know.
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

// names are the names that a text has used so far.
type names struct {
	customers map[currantwood.CustomerID]struct{}
	rules     map[currantwood.RuleID]struct{}
	hashes    map[string]struct{}
}

func newNames() names {
	return names{
		customers: make(map[currantwood.CustomerID]struct{}),
		rules:     make(map[currantwood.RuleID]struct{}),
		hashes:    make(map[string]struct{}),
	}
}

// field is one key=value with the column of its value.
type field struct {
	key   string
	value word
	// at is the whole word.
	at word
}

// fields are the key=value words of one line. The first problem that a reader
// method meets is kept, and the methods after it do nothing.
type fields struct {
	p       *parsing
	list    []field
	end     word
	problem *Problem
}

func (p *parsing) fields(words []word) (*fields, *Problem) {
	f := &fields{p: p}
	for _, w := range words {
		key, value, ok := strings.Cut(w.text, "=")
		if !ok || key == "" || value == "" {
			return nil, p.expected("key=value", w)
		}
		if _, twice := f.find(key); twice {
			return nil, p.expected("each key once", w)
		}
		at := w.column + len(key) + 1
		f.list = append(f.list, field{key: key, value: word{text: value, column: at}, at: w})
	}
	return f, nil
}

func (f *fields) find(key string) (word, bool) {
	for _, field := range f.list {
		if field.key == key {
			return field.value, true
		}
	}
	return word{}, false
}

// only refuses keys that are not among the known ones.
func (f *fields) only(known []string) {
	for _, field := range f.list {
		if !slices.Contains(known, field.key) {
			f.fail("one of the keys "+strings.Join(known, ", "), field.at)
			return
		}
	}
}

func (f *fields) fail(expected string, found word) {
	if f.problem == nil {
		f.problem = f.p.expected(expected, found)
	}
}

// text reads an optional value of the given pattern.
func (f *fields) text(key string, pattern *regexp.Regexp, expected string) string {
	value, ok := f.find(key)
	if ok && !pattern.MatchString(value.text) {
		f.fail(expected, value)
	}
	return value.text
}

// required reads a value that must be there.
func (f *fields) required(key string, pattern *regexp.Regexp, expected string) string {
	if _, ok := f.find(key); !ok {
		f.fail(key+"=", f.end)
		return ""
	}
	return f.text(key, pattern, expected)
}

// number reads an optional whole number within bounds.
func (f *fields) number(key string, preset, lowest, highest uint32) uint32 {
	value, ok := f.find(key)
	if !ok {
		return preset
	}
	number, err := strconv.ParseUint(value.text, 10, 32)
	if err != nil || uint32(number) < lowest || uint32(number) > highest {
		f.fail("a whole number from "+strconv.Itoa(int(lowest))+" to "+strconv.Itoa(int(highest)), value)
	}
	return uint32(number)
}

// duration reads a value such as 90s or 2h30m; 0 means it is not there.
func (f *fields) duration(key string) time.Duration {
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

func (f *fields) class() currantwood.Class {
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

func (f *fields) repeatable() bool {
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
