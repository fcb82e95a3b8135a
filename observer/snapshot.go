package observer

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// Snapshot holds the event counts and latency histograms of one process. The
// operator endpoint serves it as JSON, and package reporter merges the snapshots
// of all entries.
type Snapshot struct {
	Process string `json:"process"`
	// Started is when this process began to count. Counts don't survive a restart.
	Started    time.Time   `json:"started"`
	Objectives []Objective `json:"objectives"`
}

// Objective holds one service-level objective and its results.
type Objective struct {
	Name     string `json:"name"`
	Customer string `json:"customer,omitempty"`
	Rule     string `json:"rule,omitempty"`
	Measure  string `json:"measure"`
	// BoundMS is the slowest good value in milliseconds. It is unused for
	// MeasureAnswered.
	BoundMS float64 `json:"bound-ms"`
	// Share is the target share of good events, between 0 and 1.
	Share float64 `json:"share"`
	// Windows holds the counts of each common window, then those of the
	// objective's own window.
	Windows []Window `json:"windows"`
	// Histogram holds values in microseconds in the compressed encoding of
	// HdrHistogram. Under steady load it covers the last one to two hours. It is
	// empty for MeasureAnswered.
	Histogram []byte `json:"histogram,omitempty"`
}

// Window counts the events of the time window that ends at the snapshot. The window
// is rounded down to whole slots of a minute, or of an hour if it is longer than an
// hour, and covers at most 31 days. The newest slot is still filling, so 5 minutes
// cover the last 4 to 5.
type Window struct {
	Seconds int64  `json:"seconds"`
	Good    uint64 `json:"good"`
	Bad     uint64 `json:"bad"`
}

// commonWindows are reported for every objective, besides its own window.
var commonWindows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

// Snapshot returns a snapshot of all objectives at now.
func (o *Observer) Snapshot(now time.Time, process string) (Snapshot, error) {
	snapshot := Snapshot{Process: process, Started: o.started}
	for _, s := range o.stats {
		objective, err := s.snapshot(now)
		if err != nil {
			return Snapshot{}, errors.Wrapf(err, "observer: encode the histogram of objective %s", s.objective.Name)
		}
		snapshot.Objectives = append(snapshot.Objectives, objective)
	}
	return snapshot, nil
}

func (s *objectiveStats) snapshot(now time.Time) (Objective, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Objective{
		Name:     s.objective.Name,
		Customer: s.objective.Customer,
		Rule:     s.objective.Rule,
		Measure:  s.objective.Measure,
		BoundMS:  float64(s.objective.Bound.AsDuration().Microseconds()) / 1e3,
		Share:    s.objective.Share,
	}
	for _, window := range append(commonWindows[:len(commonWindows):len(commonWindows)], s.objective.Window.AsDuration()) {
		out.Windows = append(out.Windows, s.countWindow(now, window))
	}
	if s.objective.Measure == MeasureAnswered {
		return out, nil
	}
	merged := newHistogram()
	merged.Merge(s.current)
	merged.Merge(s.previous)
	var err error
	out.Histogram, err = merged.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	return out, err
}

// countWindow sums the events of a window. It uses the fine ring if the window
// fits into it, else the coarse ring.
func (s *objectiveStats) countWindow(now time.Time, window time.Duration) Window {
	r := &s.fine
	if window > fineWidth*fineSlots {
		r = &s.coarse
	}
	sum := r.sum(now, window)
	return Window{Seconds: int64(window / time.Second), Good: sum.Good, Bad: sum.Bad}
}
