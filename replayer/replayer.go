package replayer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/tracer"
)

// Options configures a replay.
type Options struct {
	// Policy is one of the names that Policies returns.
	Policy string
	// Load is the offered load as a multiple of the trace's own, which is 1 for a
	// generated trace. Greater than 0. The times of arrivals and of the notices of
	// reclaims are divided by it; deadlines and the lengths of the notices are not.
	Load float64
	// Seed seeds the random draws.
	Seed uint64
}

// event is a function to run at a point in virtual time.
type event struct {
	at time.Time
	// sequence breaks ties: events with the same time run in the order in which
	// they were scheduled.
	sequence uint64
	run      func()
}

// eventQueue is a heap of events, ordered by time and sequence.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(e any) { *q = append(*q, e.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// Replayer replays one trace once. It is not safe for concurrent use.
type Replayer struct {
	trace   *tracer.Trace
	options Options
	policy  policy
	// random draws which reports and cache events are lost.
	random *rand.Rand

	// now is the virtual time.
	now time.Time
	// sequence is that of the event scheduled last.
	sequence uint64
	events   eventQueue

	engines  []*engine
	entries  []*entry
	requests []*clientRequest
	// pending is the number of requests that are not done.
	pending int
	metrics metrics
}

// traceStart is the virtual time at which the trace starts.
var traceStart = time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)

// New prepares a replay. It returns an error if an option is invalid or the trace
// is empty.
func New(trace *tracer.Trace, options Options) (*Replayer, error) {
	p, known := findPolicy(options.Policy)
	if !known {
		return nil, errors.Errorf("replayer: unknown policy %q; must be one of %v", options.Policy, Policies())
	}
	if options.Load <= 0 {
		return nil, errors.Errorf("replayer: load %v must be greater than 0", options.Load)
	}
	if len(trace.Requests) == 0 {
		return nil, errors.New("replayer: the trace has no requests")
	}
	r := &Replayer{
		trace:   trace,
		options: options,
		policy:  p,
		random:  rand.New(rand.NewPCG(options.Seed, lossSeed)),
		now:     traceStart,
	}
	r.metrics = newMetrics()
	r.build()
	return r, nil
}

// build creates the engines and entries and schedules the arrivals, deadlines,
// reclaims and periodic events.
func (r *Replayer) build() {
	for _, region := range r.trace.Header.Regions {
		for range region.Engines {
			r.engines = append(r.engines, r.newEngine(len(r.engines), region.Region))
		}
	}
	for i, region := range r.trace.Header.Regions {
		r.entries = append(r.entries, r.newEntry(i, region.Region))
	}
	for i := range r.trace.Requests {
		r.addRequest(i)
	}
	for _, reclaim := range r.trace.Header.Reclaims {
		for _, index := range reclaim.Engines {
			r.scheduleReclaim(reclaim, r.engines[index])
		}
	}
	r.every(reportInterval, r.sendReports)
	r.every(tickInterval, r.tick)
	r.every(usageInterval, r.exchangeUsage)
}

const (
	// reportInterval is the interval of each side's load reports and of the updates of
	// the limiters.
	reportInterval = 250 * time.Millisecond
	// tickInterval is the interval at which each engine's admission is ticked.
	tickInterval = 20 * time.Millisecond
	// usageInterval is the interval at which entries tell each other the usage of each
	// customer.
	usageInterval = time.Second
)

// Run replays the trace until all requests are done.
func (r *Replayer) Run() Result {
	for r.pending > 0 && len(r.events) > 0 {
		next := heap.Pop(&r.events).(event)
		r.now = next.at
		next.run()
	}
	return r.result()
}

// at schedules run at a point in virtual time.
func (r *Replayer) at(when time.Time, run func()) {
	r.sequence++
	heap.Push(&r.events, event{at: when, sequence: r.sequence, run: run})
}

// after schedules run after a delay.
func (r *Replayer) after(delay time.Duration, run func()) { r.at(r.now.Add(delay), run) }

// every schedules run at each multiple of interval until the replay ends.
func (r *Replayer) every(interval time.Duration, run func()) {
	r.after(interval, func() {
		run()
		r.every(interval, run)
	})
}

// scaled converts a duration since the trace's start to virtual time, which is
// shorter the higher the load.
func (r *Replayer) scaled(inTrace time.Duration) time.Duration {
	return time.Duration(float64(inTrace) / r.options.Load)
}

// delay returns the one-way delay between two regions.
func (r *Replayer) delay(from, to currantwood.RegionID) time.Duration {
	if from == to {
		return 0
	}
	return time.Duration(r.trace.Header.OneWayMs * float64(time.Millisecond))
}

// scheduleReclaim schedules the loss of an engine: from the start of the notice period
// its side refuses new requests, and at the end of the period the engine is gone.
func (r *Replayer) scheduleReclaim(reclaim tracer.Reclaim, e *engine) {
	at := r.scaled(time.Duration(reclaim.AtMs) * time.Millisecond)
	notice := time.Duration(reclaim.NoticeMs) * time.Millisecond
	r.after(at, func() { e.leaving = true })
	r.after(at+notice, func() { r.reclaim(e) })
}

// addRequest schedules the arrival and the deadline of a request of the trace.
func (r *Replayer) addRequest(index int) {
	traced := &r.trace.Requests[index]
	req := &clientRequest{index: index, id: currantwood.RequestID(fmt.Sprint("r", index)), traced: traced}
	req.entry = r.entryOf(traced.Region)
	req.arrived = traceStart.Add(r.scaled(traced.Arrival()))
	req.deadline = req.arrived.Add(traced.Deadline())
	r.requests = append(r.requests, req)
	r.pending++
	r.at(req.arrived, func() { r.handleAttempt(req) })
	r.at(req.deadline, func() { r.expire(req) })
}

// entryOf returns the entry of a region, or the first entry if the region has
// none.
func (r *Replayer) entryOf(region currantwood.RegionID) *entry {
	for _, e := range r.entries {
		if e.region == region {
			return e
		}
	}
	return r.entries[0]
}
