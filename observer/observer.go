// Package observer counts in memory how an entry meets its service-level
// objectives. Its counts and histograms of several entries can be merged.
package observer

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/settingsreader"
)

const (
	// The fine ring serves windows up to an hour, the coarse one longer ones.
	fineWidth   = time.Minute
	fineSlots   = 60
	coarseWidth = time.Hour
	coarseSlots = 31 * 24

	// maxRecorded is the largest time that a histogram keeps.
	maxRecorded = time.Hour
	// significantDigits of the histograms.
	significantDigits = 2
	// histogramLife is the time after which the older half of a histogram's
	// values is dropped.
	histogramLife = time.Hour
)

// Measures of an objective, as the settings name them.
const (
	MeasureFirstToken    = "first-token"
	MeasureBetweenTokens = "between-tokens"
	MeasureStall         = "stall"
	MeasureAnswered      = "answered"
)

// Observer is safe for concurrent use.
type Observer struct {
	started time.Time
	levels  []*level
}

// level is one objective and what was seen of it.
type level struct {
	objective settingsreader.Objective

	mu           sync.Mutex
	fine, coarse ring
	// recent and older hold the values of the last one to two lives.
	recent, older *hdrhistogram.Histogram
	rotatedAt     time.Time
}

// New makes an observer for objectives.
func New(now time.Time, objectives []settingsreader.Objective) *Observer {
	o := &Observer{started: now}
	for _, objective := range objectives {
		o.levels = append(o.levels, &level{
			objective: objective,
			fine:      newRing(fineWidth, fineSlots),
			coarse:    newRing(coarseWidth, coarseSlots),
			recent:    newHistogram(),
			older:     newHistogram(),
			rotatedAt: now,
		})
	}
	return o
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecorded.Microseconds(), significantDigits)
}

// Begin starts to observe a request that arrived at the given time.
func (o *Observer) Begin(arrival time.Time, customer currantwood.CustomerID, rule currantwood.RuleID) *Request {
	r := &Request{arrival: arrival}
	for _, l := range o.levels {
		if covers(l.objective.Customer, string(customer)) && covers(l.objective.Rule, string(rule)) {
			r.levels = append(r.levels, l)
		}
	}
	return r
}

func covers(pattern, name string) bool { return pattern == "" || pattern == name }

// Request observes one request. It is not safe for concurrent use.
type Request struct {
	arrival   time.Time
	levels    []*level
	lastToken time.Time
	stall     time.Duration
}

// Tokens notes that tokens were given to the caller.
func (r *Request) Tokens(now time.Time) {
	if r.lastToken.IsZero() {
		r.record(now, MeasureFirstToken, now.Sub(r.arrival))
	} else {
		gap := now.Sub(r.lastToken)
		r.stall += max(0, gap-currantwood.StallThreshold)
		r.record(now, MeasureBetweenTokens, gap)
	}
	r.lastToken = now
}

// End notes the end of the request. Answered is false when the caller got a
// refusal that this system is answerable for.
func (r *Request) End(now time.Time, answered bool) {
	if !r.lastToken.IsZero() {
		r.record(now, MeasureStall, r.stall)
	}
	for _, l := range r.levels {
		if l.objective.Measure == MeasureAnswered {
			l.count(now, answered)
		}
	}
}

func (r *Request) record(now time.Time, measure string, value time.Duration) {
	for _, l := range r.levels {
		if l.objective.Measure == measure {
			l.value(now, value)
		}
	}
}

func (l *level) value(now time.Time, value time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotate(now)
	_ = l.recent.RecordValue(min(value, maxRecorded).Microseconds())
	l.add(now, value <= l.objective.Bound.Std())
}

func (l *level) count(now time.Time, good bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(now, good)
}

func (l *level) add(now time.Time, good bool) {
	events := tally{Bad: 1}
	if good {
		events = tally{Good: 1}
	}
	l.fine.add(now, events)
	l.coarse.add(now, events)
}

func (l *level) rotate(now time.Time) {
	if now.Sub(l.rotatedAt) < histogramLife {
		return
	}
	l.recent, l.older = l.older, l.recent
	l.recent.Reset()
	l.rotatedAt = now
}
