// Package reporter reads the service-level snapshots of all entries, merges them
// and reports the burn rate of each error budget. The report lists the entries
// that it could not read.
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
	// maxConcurrentReads limits the number of entries read at the same time.
	maxConcurrentReads = 64
	// readTimeout limits the request to one entry, including its response body.
	readTimeout = 3 * time.Second
)

// Path is the URL path of the snapshot on an entry's operator address.
const Path = "/service-levels"

// Options configures a Reporter.
type Options struct {
	VMs  currantwood.VMList
	HTTP *http.Client
}

// Reporter builds reports from the entries in the VM list.
type Reporter struct {
	options Options
}

// New returns a reporter. It sends no requests before Report is called.
func New(options Options) *Reporter { return &Reporter{options: options} }

// Report holds the merged service levels of all entries that were read.
type Report struct {
	// At is when the report was made.
	At time.Time `json:"at"`
	// Entries is the number of entries that were read.
	Entries int `json:"entries"`
	// Unanswered holds an error message for each entry that could not be read: it
	// did not respond, or responded with another status or invalid JSON.
	Unanswered []string `json:"unanswered"`
	// Since is the latest time at which an entry that was read began to count.
	// Events before it may be missing, because the counts of replaced entries are
	// lost.
	Since      time.Time   `json:"since"`
	Objectives []Objective `json:"objectives"`
}

// Objective holds the merged results of one service-level objective.
type Objective struct {
	Name     string  `json:"name"`
	Customer string  `json:"customer,omitempty"`
	Rule     string  `json:"rule,omitempty"`
	Measure  string  `json:"measure"`
	BoundMS  float64 `json:"bound-ms"`
	Share    float64 `json:"share"`
	// Burns holds one element per window, in the order of
	// observer.Objective.Windows.
	Burns []BurnRate `json:"burns"`
	// BudgetLeft is the remaining share of the error budget over the objective's
	// own window. It is negative if the budget is overspent.
	BudgetLeft float64 `json:"budget-left"`
	// Quantiles covers the last one to two hours under steady load. An entry
	// without recent requests adds older values. It is empty for
	// observer.MeasureAnswered.
	Quantiles []Quantile `json:"quantiles,omitempty"`

	histogram *hdrhistogram.Histogram
}

// BurnRate holds the event counts of one window and the burn rate, Rate, that follows
// from them. At rate 1, the error budget is used up exactly at the end of the
// objective's own window.
type BurnRate struct {
	WindowSeconds int64   `json:"window-seconds"`
	Events        uint64  `json:"events"`
	Bad           uint64  `json:"bad"`
	Rate          float64 `json:"rate"`
}

// Quantile is the value at one percentile, in milliseconds.
type Quantile struct {
	Percent float64 `json:"percent"`
	MS      float64 `json:"ms"`
}

// reportedPercentiles are the percentiles in Objective.Quantiles.
var reportedPercentiles = []float64{50, 90, 95, 99, 99.9}

// Report reads and merges the snapshots of all entries in the VM list. An entry
// that can't be read does not make it fail, but one whose histogram can't be decoded
// does.
func (r *Reporter) Report(ctx context.Context, now time.Time) (Report, error) {
	vms, err := r.options.VMs.VMs(ctx)
	if err != nil {
		return Report{}, errors.Wrap(err, "report: read the VM list")
	}
	vms = slices.DeleteFunc(vms, func(vm currantwood.VM) bool { return vm.Role != currantwood.RoleEntry.String() })
	return Merge(now, r.readAll(ctx, vms))
}

// EntryResult is the snapshot of one entry, or the error from reading it.
type EntryResult struct {
	VM       currantwood.VMID
	Snapshot observer.Snapshot
	Err      error
}

// readAll reads the entries concurrently and returns the results in the order of vms.
func (r *Reporter) readAll(ctx context.Context, vms []currantwood.VM) []EntryResult {
	results := make([]EntryResult, len(vms))
	var group errgroup.Group
	group.SetLimit(maxConcurrentReads)
	for i, vm := range vms {
		group.Go(func() error {
			snapshot, err := r.readEntry(ctx, vm)
			results[i] = EntryResult{VM: vm.ID, Snapshot: snapshot, Err: err}
			return nil
		})
	}
	_ = group.Wait()
	return results
}

func (r *Reporter) readEntry(ctx context.Context, vm currantwood.VM) (observer.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm.OperatorAddress+Path, nil)
	if err != nil {
		return observer.Snapshot{}, errors.Wrapf(err, "report: read the service levels of entry %s", vm.ID)
	}
	response, err := r.options.HTTP.Do(request)
	if err != nil {
		return observer.Snapshot{}, errors.Wrapf(err, "report: read the service levels of entry %s", vm.ID)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return observer.Snapshot{}, errors.Errorf("report: read the service levels of entry %s: status %d", vm.ID, response.StatusCode)
	}
	var snapshot observer.Snapshot
	err = json.NewDecoder(response.Body).Decode(&snapshot)
	return snapshot, errors.Wrapf(err, "report: decode the service levels of entry %s", vm.ID)
}

// Merge builds a report from the results of all entries. It fails if a histogram can't
// be decoded.
func Merge(now time.Time, results []EntryResult) (Report, error) {
	report := Report{At: now, Unanswered: []string{}}
	for _, result := range results {
		if result.Err != nil {
			report.Unanswered = append(report.Unanswered, result.Err.Error())
			continue
		}
		report.Entries++
		if result.Snapshot.Started.After(report.Since) {
			report.Since = result.Snapshot.Started
		}
		for _, objective := range result.Snapshot.Objectives {
			if err := report.mergeObjective(objective); err != nil {
				return Report{}, errors.Wrapf(err, "report: merge the service levels of entry %s", result.VM)
			}
		}
	}
	for i := range report.Objectives {
		report.Objectives[i].computeResults()
	}
	slices.SortFunc(report.Objectives, func(a, b Objective) int { return cmp.Compare(a.Name, b.Name) })
	return report, nil
}

// mergeObjective adds the counts and the histogram of one entry's objective.
func (r *Report) mergeObjective(part observer.Objective) error {
	objective := r.findOrAdd(part)
	for _, window := range part.Windows {
		objective.addWindow(window)
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

// findOrAdd returns the merged objective for one entry's objective. Objectives with
// the same name but another customer, rule, measure, bound or share are reported
// separately.
func (r *Report) findOrAdd(part observer.Objective) *Objective {
	added := Objective{
		Name: part.Name, Customer: part.Customer, Rule: part.Rule,
		Measure: part.Measure, BoundMS: part.BoundMS, Share: part.Share,
	}
	for i := range r.Objectives {
		o := &r.Objectives[i]
		if o.Name == added.Name && o.Customer == added.Customer && o.Rule == added.Rule &&
			o.Measure == added.Measure && o.BoundMS == added.BoundMS && o.Share == added.Share {
			return o
		}
	}
	r.Objectives = append(r.Objectives, added)
	return &r.Objectives[len(r.Objectives)-1]
}

// addWindow adds the counts of one entry's window to the window of the same length.
func (o *Objective) addWindow(window observer.Window) {
	for i := range o.Burns {
		if o.Burns[i].WindowSeconds == window.Seconds {
			o.Burns[i].Events += window.Good + window.Bad
			o.Burns[i].Bad += window.Bad
			return
		}
	}
	o.Burns = append(o.Burns, BurnRate{WindowSeconds: window.Seconds, Events: window.Good + window.Bad, Bad: window.Bad})
}

// computeResults sets the burn rates, the remaining budget and the quantiles. It takes
// the last window for the objective's own and computes BudgetLeft from it. That is
// wrong if the own window is as long as a common window other than the last, or
// differs between entries.
func (o *Objective) computeResults() {
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
	for _, percent := range reportedPercentiles {
		ms := float64(o.histogram.ValueAtQuantile(percent)) / 1e3
		o.Quantiles = append(o.Quantiles, Quantile{Percent: percent, MS: ms})
	}
}
