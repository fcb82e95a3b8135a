package replayer

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/limiter"
	"github.com/currantwood/currantwood/prefixtracker"
	"github.com/currantwood/currantwood/promiser"
)

// entry is one region's entry with its late view of all engines.
type entry struct {
	id      currantwood.VMID
	region  currantwood.RegionID
	chooser chooser
	// limiter is nil in policies without one.
	limiter  *limiter.Limiter
	prefixes *prefixtracker.Tracker
	// promiser is nil in policies without one.
	promiser *promiser.Promiser
	// reports, inFlight and leaving have one element for each engine.
	reports  []report
	inFlight []int
	leaving  []bool
}

// report is what an entry last heard of an engine.
type report struct {
	at   time.Time
	view view
	load currantwood.EngineLoad
}

func (r *Replayer) newEntry(index int, region currantwood.RegionID) *entry {
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(100+index)))
	e := &entry{
		id:       currantwood.VMID(fmt.Sprint("entry-", index)),
		region:   region,
		chooser:  r.policy.chooser(region, random),
		prefixes: prefixtracker.New(prefixtracker.DefaultOptions()),
		reports:  make([]report, len(r.engines)),
		inFlight: make([]int, len(r.engines)),
		leaving:  make([]bool, len(r.engines)),
	}
	if r.policy.limits {
		e.limiter = limiter.New(limiter.DefaultOptions())
	}
	if r.policy.promises {
		e.promiser = promiser.New(promiser.DefaultOptions())
	}
	for i := range e.reports {
		e.reports[i] = report{at: r.now, view: r.engines[i].gate.view(r.now)}
	}
	return e
}

// admit asks the limiter.
func (e *entry) admit(now time.Time, demand currantwood.Demand) *currantwood.Refusal {
	if e.limiter == nil {
		return nil
	}
	return e.limiter.Admit(now, demand).Refusal
}

// promised reports whether an attempt comes in a slot.
func (e *entry) promised(now time.Time, f *flight) bool {
	return e.promiser != nil && e.promiser.Arrived(now, f.request.Customer, f.fingerprint())
}

// comeBack returns when a refused caller is told to come back.
func (e *entry) comeBack(now time.Time, f *flight, atLeast time.Duration) time.Duration {
	if e.promiser == nil {
		return atLeast
	}
	return e.promiser.Refused(now, f.request.Customer, 1, f.fingerprint(), atLeast)
}

// finished tells the promiser that a stream ended.
func (e *entry) finished(now time.Time) {
	if e.promiser != nil {
		e.promiser.Finished(now)
	}
}

// done tells the limiter what an attempt held.
func (e *entry) done(now time.Time, f *flight) {
	if e.limiter == nil {
		return
	}
	var used currantwood.TokenSeconds
	if f.started {
		held := float64(f.request.PromptTokens) + float64(f.tokens)/2
		used = currantwood.TokenSeconds(held * now.Sub(f.startedAt).Seconds())
	}
	e.limiter.Done(now, f.request.Customer, f.id, used)
}

// pick chooses an engine; nil when there is none.
func (e *entry) pick(r *Replayer, f *flight) *engine {
	var engines []*engine
	var candidates []currantwood.Candidate
	for i, candidate := range r.engines {
		if e.leaving[i] || f.hasTried(candidate) {
			continue
		}
		engines = append(engines, candidate)
		candidates = append(candidates, e.candidate(r, f, candidate))
	}
	chosen := e.chooser.pick(r.now, f.demand(), candidates)
	if chosen < 0 {
		return nil
	}
	e.prefixes.Hold(r.now, engines[chosen].upstream, f.request.PrefixID, f.request.PrefixTokens)
	return engines[chosen]
}

func (e *entry) candidate(r *Replayer, f *flight, of *engine) currantwood.Candidate {
	heard := e.reports[of.index]
	queue := heard.view.queued
	if heard.load.Waiting > 0 || heard.load.Running > 0 {
		queue += heard.load.Waiting + heard.load.Running
	}
	return currantwood.Candidate{
		Upstream:      of.upstream,
		Region:        of.region,
		Headroom:      heard.view.headroom,
		QueueLength:   queue,
		InFlight:      e.inFlight[of.index],
		ReportedAt:    heard.at,
		Latency:       r.delay(e.region, of.region),
		CachedTokens:  min(e.prefixes.Cached(r.now, of.upstream, f.request.PrefixID), f.request.PromptTokens),
		PredictedWait: heard.view.wait,
	}
}

// cacheEventsLost is the share of cache events that engines never publish.
const cacheEventsLost = 0.2

// report sends each side's report to each entry.
func (r *Replayer) report() {
	for _, from := range r.engines {
		if from.gone {
			continue
		}
		heard := report{view: from.gate.view(r.now), load: from.batch.Load()}
		leaving := from.leaving
		events := from.batch.CacheEvents(from.seen)
		if len(events) > 0 {
			from.seen = events[len(events)-1].Seq
		}
		for _, to := range r.entries {
			if r.random.Float64() < r.trace.Header.ReportsLost {
				continue
			}
			kept := r.dropEvents(events)
			r.after(r.delay(from.region, to.region), func() {
				to.hear(r.now, from, heard, kept)
				to.leaving[from.index] = leaving
			})
		}
	}
	for _, e := range r.entries {
		if e.limiter != nil {
			e.limiter.Free(e.headroom())
			e.limiter.Tick(r.now)
		}
	}
}

func (r *Replayer) dropEvents(events []currantwood.CacheEvent) (kept []currantwood.CacheEvent) {
	for _, event := range events {
		if r.random.Float64() >= cacheEventsLost {
			kept = append(kept, event)
		}
	}
	return kept
}

func (e *entry) hear(now time.Time, from *engine, heard report, events []currantwood.CacheEvent) {
	heard.at = now
	e.reports[from.index] = heard
	for _, event := range events {
		if event.Evicted {
			e.prefixes.Drop(from.upstream, event.Prefix)
			continue
		}
		e.prefixes.Hold(now, from.upstream, event.Prefix, event.Tokens)
	}
}

// headroom is what all engines in view could still be given.
func (e *entry) headroom() (sum currantwood.TokenCount) {
	for i := range e.reports {
		if !e.leaving[i] {
			sum += e.reports[i].view.headroom
		}
	}
	return sum
}

// exchange tells each entry what the others use.
func (r *Replayer) exchange() {
	for _, from := range r.entries {
		if from.limiter == nil {
			return
		}
		uses := from.limiter.Uses()
		for _, to := range r.entries {
			if to == from {
				continue
			}
			r.after(r.delay(from.region, to.region), func() { to.limiter.Exchange(r.now, from.id, uses) })
		}
	}
}
