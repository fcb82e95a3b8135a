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

// entry is the process that the clients of a region send their requests to. Besides
// its own requests, it knows the engines only from delayed load reports and cache
// events.
type entry struct {
	id       currantwood.VMID
	region   currantwood.RegionID
	selector selector
	// limiter is nil unless the policy enforces shares.
	limiter  *limiter.Limiter
	prefixes *prefixtracker.Tracker
	// promiser is nil unless the policy promises slots: times at which the retry of a
	// refused request takes precedence over new requests.
	promiser *promiser.Promiser
	// reports, inFlight and leaving are indexed by engine.
	reports  []loadReport
	inFlight []int
	leaving  []bool
}

// loadReport is a load report of a side and its engine.
type loadReport struct {
	// receivedAt is set when the report reaches the entry.
	receivedAt time.Time
	side       sideLoad
	engine     currantwood.EngineLoad
}

// The second seeds of the random generators. They make the losses and the draws of
// each entry's selector independent of each other.
const (
	lossSeed       = 1
	firstEntrySeed = 100
)

func (r *Replayer) newEntry(index int, region currantwood.RegionID) *entry {
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(firstEntrySeed+index)))
	e := &entry{
		id:       currantwood.VMID(fmt.Sprint("entry-", index)),
		region:   region,
		selector: r.policy.newSelector(region, random),
		prefixes: prefixtracker.New(prefixtracker.DefaultOptions()),
		reports:  make([]loadReport, len(r.engines)),
		inFlight: make([]int, len(r.engines)),
		leaving:  make([]bool, len(r.engines)),
	}
	if r.policy.enforceShares {
		e.limiter = limiter.New(limiter.DefaultOptions())
	}
	if r.policy.promiseSlots {
		e.promiser = promiser.New(promiser.DefaultOptions())
	}
	for i := range e.reports {
		e.reports[i] = loadReport{receivedAt: r.now, side: r.engines[i].admission.reportedLoad(r.now)}
	}
	return e
}

// admit returns the limiter's refusal, or nil if the request is admitted.
func (e *entry) admit(now time.Time, demand currantwood.Demand) *currantwood.Refusal {
	if e.limiter == nil {
		return nil
	}
	return e.limiter.Admit(now, demand).Refusal
}

// takeSlot reports whether an attempt is made in the slot that was assigned to the
// request at its last refusal. It removes the slot unless the attempt is too early.
func (e *entry) takeSlot(now time.Time, req *clientRequest) bool {
	return e.promiser != nil && e.promiser.ClaimSlot(now, req.traced.Customer, req.fingerprint())
}

// customerWeight is the weight of every customer, since a trace has no weights.
const customerWeight = 1

// assignSlot assigns a slot for the retry of a refused request and returns the delay
// until it. Without a promiser it returns atLeast.
func (e *entry) assignSlot(now time.Time, req *clientRequest, atLeast time.Duration) time.Duration {
	if e.promiser == nil {
		return atLeast
	}
	return e.promiser.AssignSlot(now, req.traced.Customer, customerWeight, req.fingerprint(), atLeast)
}

// streamFinished tells the promiser that the response to a request that isn't a check
// is complete.
func (e *entry) streamFinished(now time.Time) {
	if e.promiser != nil {
		e.promiser.RecordStreamEnd(now)
	}
}

// limiterDone tells the limiter that an admitted attempt has ended, and what memory
// it used. A running request holds its prompt and half of its output on average. The
// time since the start counts in full, including waits at the engine and pauses.
func (e *entry) limiterDone(now time.Time, req *clientRequest) {
	if e.limiter == nil {
		return
	}
	var used currantwood.TokenSeconds
	if req.started {
		held := float64(req.traced.PromptTokens) + float64(req.tokens)/2
		used = currantwood.TokenSeconds(held * now.Sub(req.startedAt).Seconds())
	}
	e.limiter.Done(now, req.traced.Customer, req.id, used)
}

// pick selects an engine for a request. It returns nil if none is suitable.
func (e *entry) pick(r *Replayer, req *clientRequest) *engine {
	var engines []*engine
	var candidates []currantwood.Candidate
	for i, target := range r.engines {
		if e.leaving[i] || req.hasTried(target) {
			continue
		}
		engines = append(engines, target)
		candidates = append(candidates, e.candidate(r, req, target))
	}
	chosen := e.selector.pick(r.now, req.demand(), candidates)
	if chosen < 0 {
		return nil
	}
	e.prefixes.RecordCached(r.now, engines[chosen].upstream, req.traced.PrefixID, req.traced.PrefixTokens)
	return engines[chosen]
}

// candidate describes an engine as known to the entry.
func (e *entry) candidate(r *Replayer, req *clientRequest, target *engine) currantwood.Candidate {
	report := e.reports[target.index]
	// The requests at the engine are included for twoChoices, since unlimitedAdmission
	// lets none wait at the side.
	outstanding := report.side.queued
	if report.engine.Waiting > 0 || report.engine.Running > 0 {
		outstanding += report.engine.Waiting + report.engine.Running
	}
	return currantwood.Candidate{
		Upstream:      target.upstream,
		Region:        target.region,
		Headroom:      report.side.headroom,
		QueueLength:   outstanding,
		InFlight:      e.inFlight[target.index],
		ReportedAt:    report.receivedAt,
		Latency:       r.delay(e.region, target.region),
		CachedTokens:  min(e.prefixes.CachedTokens(r.now, target.upstream, req.traced.PrefixID), req.traced.PromptTokens),
		PredictedWait: report.side.predictedTTFT,
	}
}

// cacheEventLoss is the probability that a cache event is lost though the load report
// sent with it arrives. It applies to every trace.
const cacheEventLoss = 0.2

// sendReports sends a load report, the cache events and whether the side is leaving
// from the side of each engine that isn't reclaimed to each entry. All three are lost
// together with the probability ReportsLost of the trace; of the other cache events
// each is lost with cacheEventLoss. Then it gives each entry's limiter the free
// engine memory as the entry knows it, before these reports arrive, and ticks the
// limiter.
func (r *Replayer) sendReports() {
	for _, from := range r.engines {
		if from.reclaimed {
			continue
		}
		report := loadReport{side: from.admission.reportedLoad(r.now), engine: from.batch.Load()}
		leaving := from.leaving
		events := from.batch.CacheEvents(from.lastCacheEvent)
		if len(events) > 0 {
			from.lastCacheEvent = events[len(events)-1].Seq
		}
		for _, to := range r.entries {
			if r.random.Float64() < r.trace.Header.ReportsLost {
				continue
			}
			received := r.sampleCacheEvents(events)
			r.after(r.delay(from.region, to.region), func() {
				to.receiveReport(r.now, from, report, received)
				to.leaving[from.index] = leaving
			})
		}
	}
	for _, e := range r.entries {
		if e.limiter != nil {
			e.limiter.SetFreeMemory(e.headroom())
			e.limiter.Tick(r.now)
		}
	}
}

// sampleCacheEvents draws which of the events reach one entry and returns those.
func (r *Replayer) sampleCacheEvents(events []currantwood.CacheEvent) (received []currantwood.CacheEvent) {
	for _, event := range events {
		if r.random.Float64() >= cacheEventLoss {
			received = append(received, event)
		}
	}
	return received
}

// receiveReport processes a side's load report and cache events.
func (e *entry) receiveReport(now time.Time, from *engine, report loadReport, events []currantwood.CacheEvent) {
	report.receivedAt = now
	e.reports[from.index] = report
	for _, event := range events {
		if event.Evicted {
			e.prefixes.RecordEvicted(from.upstream, event.Prefix)
			continue
		}
		e.prefixes.RecordCached(now, from.upstream, event.Prefix, event.Tokens)
	}
}

// headroom returns the sum of the reported headroom of all engines that are not
// leaving.
func (e *entry) headroom() (sum currantwood.TokenCount) {
	for i := range e.reports {
		if !e.leaving[i] {
			sum += e.reports[i].side.headroom
		}
	}
	return sum
}

// exchangeUsage sends from each entry to the others how many requests each customer
// has in flight through it and how much engine memory they hold.
func (r *Replayer) exchangeUsage() {
	for _, from := range r.entries {
		if from.limiter == nil {
			return
		}
		usage := from.limiter.Usages()
		for _, to := range r.entries {
			if to == from {
				continue
			}
			r.after(r.delay(from.region, to.region), func() { to.limiter.RecordPeerUsage(r.now, from.id, usage) })
		}
	}
}
