package observer

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// Levels is what one process has seen, in the form that operators' addresses
// serve and reports merge.
type Levels struct {
	Process string `json:"process"`
	// Started is when counting began; counts of earlier processes are gone.
	Started    time.Time   `json:"started"`
	Objectives []Objective `json:"objectives"`
}

// Objective is one objective's part of Levels.
type Objective struct {
	Name     string `json:"name"`
	Customer string `json:"customer,omitempty"`
	Rule     string `json:"rule,omitempty"`
	Measure  string `json:"measure"`
	// BoundMS is unused for answered.
	BoundMS float64 `json:"bound-ms"`
	Share   float64 `json:"share"`
	// Windows ends with the objective's own window.
	Windows []Window `json:"windows"`
	// Histogram holds microseconds in HdrHistogram's compressed encoding; it is
	// empty for answered.
	Histogram []byte `json:"histogram,omitempty"`
}

// Window counts events in the time before the reading.
type Window struct {
	Seconds int64  `json:"seconds"`
	Good    uint64 `json:"good"`
	Bad     uint64 `json:"bad"`
}

// shortWindows are reported besides each objective's own.
var shortWindows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

// Levels returns what was seen up to now.
func (o *Observer) Levels(now time.Time, process string) (Levels, error) {
	levels := Levels{Process: process, Started: o.started}
	for _, l := range o.levels {
		objective, err := l.read(now)
		if err != nil {
			return Levels{}, errors.Wrapf(err, "observer: objective %s", l.objective.Name)
		}
		levels.Objectives = append(levels.Objectives, objective)
	}
	return levels, nil
}

func (l *level) read(now time.Time) (Objective, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := Objective{
		Name:     l.objective.Name,
		Customer: l.objective.Customer,
		Rule:     l.objective.Rule,
		Measure:  l.objective.Measure,
		BoundMS:  float64(l.objective.Bound.Std().Microseconds()) / 1e3,
		Share:    l.objective.Share,
	}
	for _, window := range append(shortWindows[:len(shortWindows):len(shortWindows)], l.objective.Window.Std()) {
		out.Windows = append(out.Windows, l.window(now, window))
	}
	if l.objective.Measure == MeasureAnswered {
		return out, nil
	}
	merged := newHistogram()
	merged.Merge(l.recent)
	merged.Merge(l.older)
	var err error
	out.Histogram, err = merged.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	return out, err
}

func (l *level) window(now time.Time, window time.Duration) Window {
	r := &l.fine
	if window > fineWidth*fineSlots {
		r = &l.coarse
	}
	sum := r.sum(now, window)
	return Window{Seconds: int64(window / time.Second), Good: sum.Good, Bad: sum.Bad}
}
