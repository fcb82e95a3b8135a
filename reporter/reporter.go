// Package reporter gathers the service levels of all entries, merges them and
// shows how fast each error budget burns. An entry that doesn't answer is named
// in the report.
package reporter

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/observer"
)

const (
	// gatherLimit bounds the entries that are asked at the same time.
	gatherLimit = 64
	// gatherTimeout bounds the answer of one entry.
	gatherTimeout = 3 * time.Second
)

// Path is where operators' addresses serve their levels.
const Path = "/service-levels"

// Options say whom to ask.
type Options struct {
	VMs  currantwood.VMList
	HTTP *http.Client
}

// Reporter makes reports.
type Reporter struct {
	options Options
}

// New makes a reporter.
func New(options Options) *Reporter { return &Reporter{options: options} }

// Report is what all entries together have seen.
type Report struct {
	// At is when the report was made.
	At         time.Time `json:"at"`
	Entries    int       `json:"entries"`
	Unanswered []string  `json:"unanswered"`
	// Since is the start of the youngest entry: before it, counts miss what
	// replaced entries had seen.
	Since      time.Time   `json:"since"`
	Objectives []Objective `json:"objectives"`
}

// Objective is one objective over all entries.
type Objective struct {
	Name     string  `json:"name"`
	Customer string  `json:"customer,omitempty"`
	Rule     string  `json:"rule,omitempty"`
	Measure  string  `json:"measure"`
	BoundMS  float64 `json:"bound-ms"`
	Share    float64 `json:"share"`
	Burns    []Burn  `json:"burns"`
	// BudgetLeft is the part of the own window's budget that is left; below 0
	// when it is overspent.
	BudgetLeft float64 `json:"budget-left"`
	// Quantiles are of the last one to two hours; empty for answered.
	Quantiles []Quantile `json:"quantiles,omitempty"`

	histogram *hdrhistogram.Histogram
}

// Burn is the burn rate over one window: 1 uses the budget up exactly by the end
// of the objective's own window.
type Burn struct {
	WindowSeconds int64   `json:"window-seconds"`
	Events        uint64  `json:"events"`
	Bad           uint64  `json:"bad"`
	Rate          float64 `json:"rate"`
}

// Quantile is one point of a distribution.
type Quantile struct {
	Percent float64 `json:"percent"`
	MS      float64 `json:"ms"`
}

// shownPercents are the quantiles in a report.
var shownPercents = []float64{50, 90, 95, 99, 99.9}

// Report asks all entries of the VM list.
func (r *Reporter) Report(ctx context.Context, now time.Time) (Report, error) {
	vms, err := r.options.VMs.VMs(ctx)
	if err != nil {
		return Report{}, errors.Wrap(err, "report: read the VM list")
	}
	vms = slices.DeleteFunc(vms, func(vm currantwood.VM) bool { return vm.Role != currantwood.RoleEntry.String() })
	return Merge(now, r.gather(ctx, vms))
}

// Reading is what one entry answered.
type Reading struct {
	VM     currantwood.VMID
	Levels observer.Snapshot
	Err    error
}

func (r *Reporter) gather(ctx context.Context, vms []currantwood.VM) []Reading {
	readings := make([]Reading, len(vms))
	var group errgroup.Group
	group.SetLimit(gatherLimit)
	for i, vm := range vms {
		group.Go(func() error {
			levels, err := r.read(ctx, vm)
			readings[i] = Reading{VM: vm.ID, Levels: levels, Err: err}
			return nil
		})
	}
	_ = group.Wait()
	return readings
}

func (r *Reporter) read(ctx context.Context, vm currantwood.VM) (observer.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm.OperatorAddress+Path, nil)
	if err != nil {
		return observer.Snapshot{}, errors.Wrapf(err, "report: read levels, peer %s", vm.ID)
	}
	response, err := r.options.HTTP.Do(request)
	if err != nil {
		return observer.Snapshot{}, errors.Wrapf(err, "report: read levels, peer %s", vm.ID)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return observer.Snapshot{}, errors.Errorf("report: read levels, peer %s: status %d", vm.ID, response.StatusCode)
	}
	var levels observer.Snapshot
	err = json.NewDecoder(response.Body).Decode(&levels)
	return levels, errors.Wrapf(err, "report: read levels, peer %s", vm.ID)
}

// Merge makes one report of the readings.
func Merge(now time.Time, readings []Reading) (Report, error) {
	report := Report{At: now, Unanswered: []string{}}
	for _, reading := range readings {
		if reading.Err != nil {
			report.Unanswered = append(report.Unanswered, reading.Err.Error())
			continue
		}
		report.Entries++
		if reading.Levels.Started.After(report.Since) {
			report.Since = reading.Levels.Started
		}
		for _, objective := range reading.Levels.Objectives {
			if err := report.add(objective); err != nil {
				return Report{}, errors.Wrapf(err, "report: merge levels, peer %s", reading.VM)
			}
		}
	}
	for i := range report.Objectives {
		report.Objectives[i].finish()
	}
	slices.SortFunc(report.Objectives, func(a, b Objective) int { return cmp.Compare(a.Name, b.Name) })
	return report, nil
}

// add merges one entry's part of an objective.
func (r *Report) add(part observer.Objective) error {
	objective := r.find(part)
	for _, window := range part.Windows {
		objective.count(window)
	}
	if len(part.Histogram) == 0 {
		return nil
	}
	histogram, err := hdrhistogram.Decode(part.Histogram)
	if err != nil {
		return err
	}
	if objective.histogram == nil {
		objective.histogram = histogram
		return nil
	}
	objective.histogram.Merge(histogram)
	return nil
}

// find returns the objective that a part belongs to. Entries whose settings
// differ in bound or share are kept apart.
func (r *Report) find(part observer.Objective) *Objective {
	fresh := Objective{
		Name: part.Name, Customer: part.Customer, Rule: part.Rule,
		Measure: part.Measure, BoundMS: part.BoundMS, Share: part.Share,
	}
	for i := range r.Objectives {
		o := &r.Objectives[i]
		if o.Name == fresh.Name && o.Customer == fresh.Customer && o.Rule == fresh.Rule &&
			o.Measure == fresh.Measure && o.BoundMS == fresh.BoundMS && o.Share == fresh.Share {
			return o
		}
	}
	r.Objectives = append(r.Objectives, fresh)
	return &r.Objectives[len(r.Objectives)-1]
}

func (o *Objective) count(window observer.Window) {
	for i := range o.Burns {
		if o.Burns[i].WindowSeconds == window.Seconds {
			o.Burns[i].Events += window.Good + window.Bad
			o.Burns[i].Bad += window.Bad
			return
		}
	}
	o.Burns = append(o.Burns, Burn{WindowSeconds: window.Seconds, Events: window.Good + window.Bad, Bad: window.Bad})
}

// finish works out rates, budget and quantiles.
func (o *Objective) finish() {
	o.BudgetLeft = 1
	for i := range o.Burns {
		b := &o.Burns[i]
		if b.Events > 0 {
			b.Rate = float64(b.Bad) / float64(b.Events) / (1 - o.Share)
		}
		o.BudgetLeft = 1 - b.Rate
	}
	if o.histogram == nil || o.histogram.TotalCount() == 0 {
		return
	}
	for _, percent := range shownPercents {
		ms := float64(o.histogram.ValueAtQuantile(percent)) / 1e3
		o.Quantiles = append(o.Quantiles, Quantile{Percent: percent, MS: ms})
	}
}
