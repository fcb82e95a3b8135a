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

// Options say how to play a trace.
type Options struct {
	// Policy is one of Policies.
	Policy string
	// Load is the offered load; the trace's times are divided by it. > 0.
	Load float64
	Seed uint64
}

// event is something that happens at a time.
type event struct {
	at time.Time
	// order breaks ties: events of one time happen in the order in which they
	// were scheduled.
	order uint64
	run   func()
}

// schedule is a heap of events.
type schedule []event

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	if s[i].at.Equal(s[j].at) {
		return s[i].order < s[j].order
	}
	return s[i].at.Before(s[j].at)
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface.
func (s *schedule) Push(e any) { *s = append(*s, e.(event)) }

// Pop implements heap.Interface.
func (s *schedule) Pop() any {
	last := len(*s) - 1
	e := (*s)[last]
	*s = (*s)[:last]
	return e
}

// Replayer plays one trace once.
type Replayer struct {
	trace   *tracer.Trace
	options Options
	policy  policy
	random  *rand.Rand

	now      time.Time
	order    uint64
	schedule schedule

	engines []*engine
	entries []*entry
	flights []*flight
	// open counts the flights that are not over.
	open    int
	measure measure
}

// traceStart is the clock at the trace's start.
var traceStart = time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)

// New prepares a replay.
func New(trace *tracer.Trace, options Options) (*Replayer, error) {
	p, known := findPolicy(options.Policy)
	if !known {
		return nil, errors.Errorf("replayer: no policy %q; known are %v", options.Policy, Policies())
	}
	if options.Load <= 0 {
		return nil, errors.Errorf("replayer: load %v must be above 0", options.Load)
	}
	if len(trace.Requests) == 0 {
		return nil, errors.New("replayer: the trace has no requests")
	}
	r := &Replayer{
		trace:   trace,
		options: options,
		policy:  p,
		random:  rand.New(rand.NewPCG(options.Seed, 1)),
		now:     traceStart,
	}
	r.measure = newMeasure()
	r.build()
	return r, nil
}

// build makes the engines and entries and schedules what is known in advance.
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
		r.addFlight(i)
	}
	for _, reclaim := range r.trace.Header.Reclaims {
		for _, index := range reclaim.Engines {
			r.scheduleReclaim(reclaim, r.engines[index])
		}
	}
	r.every(reportInterval, r.report)
	r.every(tickInterval, r.tick)
	r.every(exchangeInterval, r.exchange)
}

const (
	// reportInterval is the time between two load reports of a side.
	reportInterval = 250 * time.Millisecond
	// tickInterval is the time between two ticks of a gatekeeper.
	tickInterval = 20 * time.Millisecond
	// exchangeInterval is the time between two exchanges of use by entries.
	exchangeInterval = time.Second
)

// Run plays the trace to its end.
func (r *Replayer) Run() Result {
	for r.open > 0 && len(r.schedule) > 0 {
		next := heap.Pop(&r.schedule).(event)
		r.now = next.at
		next.run()
	}
	return r.result()
}

// at schedules an event.
func (r *Replayer) at(when time.Time, run func()) {
	r.order++
	heap.Push(&r.schedule, event{at: when, order: r.order, run: run})
}

func (r *Replayer) after(delay time.Duration, run func()) { r.at(r.now.Add(delay), run) }

// every runs something again and again while flights are open.
func (r *Replayer) every(interval time.Duration, run func()) {
	r.after(interval, func() {
		run()
		r.every(interval, run)
	})
}

// scaled turns a time of the trace into one of the replay.
func (r *Replayer) scaled(inTrace time.Duration) time.Duration {
	return time.Duration(float64(inTrace) / r.options.Load)
}

// delay is the one-way delay between two regions.
func (r *Replayer) delay(from, to currantwood.RegionID) time.Duration {
	if from == to {
		return 0
	}
	return time.Duration(r.trace.Header.OneWayMs * float64(time.Millisecond))
}

func (r *Replayer) scheduleReclaim(reclaim tracer.Reclaim, e *engine) {
	at := r.scaled(time.Duration(reclaim.AtMs) * time.Millisecond)
	notice := time.Duration(reclaim.NoticeMs) * time.Millisecond
	r.after(at, func() { e.leaving = true })
	r.after(at+notice, func() { r.reclaim(e) })
}

func (r *Replayer) addFlight(index int) {
	request := &r.trace.Requests[index]
	f := &flight{index: index, id: currantwood.RequestID(fmt.Sprint("r", index)), request: request}
	f.entry = r.entryOf(request.Region)
	f.arrived = traceStart.Add(r.scaled(request.Arrival()))
	f.deadline = f.arrived.Add(request.Deadline())
	r.flights = append(r.flights, f)
	r.open++
	r.at(f.arrived, func() { r.arrive(f) })
	r.at(f.deadline, func() { r.expire(f) })
}

func (r *Replayer) entryOf(region currantwood.RegionID) *entry {
	for _, e := range r.entries {
		if e.region == region {
			return e
		}
	}
	return r.entries[0]
}
