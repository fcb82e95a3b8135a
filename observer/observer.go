// Package observer measures in memory whether an entry meets its service-level
// objectives. The counts and histograms of several entries can be merged.
package observer

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/settingsreader"
)

const (
	// The fine ring covers windows of up to an hour, the coarse ring longer
	// windows of up to 31 days. Both round a window down to whole slots.
	fineWidth   = time.Minute
	fineSlots   = 60
	coarseWidth = time.Hour
	coarseSlots = 31 * 24

	// maxRecordedValue is the largest value of a histogram. Larger values are
	// clamped to it.
	maxRecordedValue = time.Hour
	// significantDigits is the precision of the histograms, in decimal digits.
	significantDigits = 2
	// histogramRotation is the interval at which the current histogram becomes
	// the previous one.
	histogramRotation = time.Hour
)

// The measures of an objective, as named in the settings. MeasureAnswered counts one
// event per request, MeasureFirstToken and MeasureStall one per request with a token,
// and MeasureBetweenTokens one per call of Request.Tokens after the first.
const (
	MeasureFirstToken    = "first-token"
	MeasureBetweenTokens = "between-tokens"
	MeasureStall         = "stall"
	MeasureAnswered      = "answered"
)

// Observer measures requests against a set of service-level objectives. It is
// safe for concurrent use.
type Observer struct {
	started time.Time
	stats   []*objectiveStats
}

// objectiveStats holds one objective, its event counts and its recent values.
type objectiveStats struct {
	objective settingsreader.Objective

	mu           sync.Mutex
	fine, coarse ring
	// current holds the values since rotatedAt, previous those between the
	// rotation before and rotatedAt. They rotate only when a value is recorded,
	// so they keep old values while there are no requests.
	current, previous *hdrhistogram.Histogram
	rotatedAt         time.Time
}

// New returns an observer that starts to count at now.
func New(now time.Time, objectives []settingsreader.Objective) *Observer {
	o := &Observer{started: now}
	for _, objective := range objectives {
		o.stats = append(o.stats, &objectiveStats{
			objective: objective,
			fine:      newRing(fineWidth, fineSlots),
			coarse:    newRing(coarseWidth, coarseSlots),
			current:   newHistogram(),
			previous:  newHistogram(),
			rotatedAt: now,
		})
	}
	return o
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecordedValue.Microseconds(), significantDigits)
}

// Begin starts to measure a request that arrived at the given time. Objectives
// of other customers or rules don't count it.
func (o *Observer) Begin(arrival time.Time, customer currantwood.CustomerID, rule currantwood.RuleID) *Request {
	r := &Request{arrival: arrival}
	for _, s := range o.stats {
		if matches(s.objective.Customer, string(customer)) && matches(s.objective.Rule, string(rule)) {
			r.stats = append(r.stats, s)
		}
	}
	return r
}

// matches reports whether a pattern selects a name. An empty pattern selects all
// names.
func matches(pattern, name string) bool { return pattern == "" || pattern == name }

// Request measures one request. It is not safe for concurrent use.
type Request struct {
	arrival   time.Time
	stats     []*objectiveStats
	lastToken time.Time
	// stall is the sum, over all gaps between successive calls of Tokens, of the
	// time above currantwood.StallThreshold.
	stall time.Duration
}

// RecordTokens records that the entry received one or more tokens of the response at now.
func (r *Request) RecordTokens(now time.Time) {
	if r.lastToken.IsZero() {
		r.record(now, MeasureFirstToken, now.Sub(r.arrival))
	} else {
		gap := now.Sub(r.lastToken)
		r.stall += max(0, gap-currantwood.StallThreshold)
		r.record(now, MeasureBetweenTokens, gap)
	}
	r.lastToken = now
}

// End records the end of the request. answered is false if it ended with a refusal.
// A request that is refused before Begin is not measured.
func (r *Request) End(now time.Time, answered bool) {
	if !r.lastToken.IsZero() {
		r.record(now, MeasureStall, r.stall)
	}
	for _, s := range r.stats {
		if s.objective.Measure == MeasureAnswered {
			s.recordOutcome(now, answered)
		}
	}
}

func (r *Request) record(now time.Time, measure string, value time.Duration) {
	for _, s := range r.stats {
		if s.objective.Measure == measure {
			s.recordValue(now, value)
		}
	}
}

// recordValue records a value and counts it as good if it is within the bound.
func (s *objectiveStats) recordValue(now time.Time, value time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotateHistograms(now)
	_ = s.current.RecordValue(min(value, maxRecordedValue).Microseconds())
	s.addEvent(now, value <= s.objective.Bound.AsDuration())
}

// recordOutcome counts an event that has no value.
func (s *objectiveStats) recordOutcome(now time.Time, good bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addEvent(now, good)
}

// addEvent counts one event. The caller holds mu.
func (s *objectiveStats) addEvent(now time.Time, good bool) {
	events := eventCounts{Bad: 1}
	if good {
		events = eventCounts{Good: 1}
	}
	s.fine.add(now, events)
	s.coarse.add(now, events)
}

// rotateHistograms makes current the previous histogram and starts an empty one, if
// histogramRotation has passed since rotatedAt. The caller holds mu.
func (s *objectiveStats) rotateHistograms(now time.Time) {
	if now.Sub(s.rotatedAt) < histogramRotation {
		return
	}
	s.current, s.previous = s.previous, s.current
	s.current.Reset()
	s.rotatedAt = now
}
