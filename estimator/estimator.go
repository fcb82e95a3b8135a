package estimator

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/currantwood/currantwood"
)

// Options are the limits and the decay rates of an estimator.
type Options struct {
	// MaxPairs is the maximum number of pairs of customer and rule, at about
	// 1,000 bytes each.
	MaxPairs int
	// DecayStreams is the number of later streams after which an observation
	// has lost about two thirds of its weight; more than 1.
	DecayStreams float64
	// HalfLife is the time after which an observation has lost half of its
	// weight.
	HalfLife time.Duration
	// PriorWeight is the number of observations that the next broader
	// distribution counts as.
	PriorWeight float64
}

// DefaultOptions returns options for 9,500 customers with three rules each, in
// 30 MB of memory.
func DefaultOptions() Options {
	return Options{
		MaxPairs:     28_500,
		DecayStreams: 40,
		HalfLife:     20 * time.Minute,
		PriorWeight:  15,
	}
}

// shardCount is the number of shards of the pairs, each with its own lock.
const shardCount = 16

// pairKey is a pair of customer and rule.
type pairKey struct {
	customer currantwood.CustomerID
	rule     currantwood.RuleID
}

// pairEntry is a pair's life table and the curve computed from it.
type pairEntry struct {
	lifeTable lifeTable
	// curve is nil if it must be recomputed after an observation.
	curve *Curve
	// ruleObservations is the value of ruleView.observations that curve was
	// computed with.
	ruleObservations uint64
	// updatedAt is when lifeTable was last changed.
	updatedAt time.Time
}

// shard holds the pairs of some customers.
type shard struct {
	mu    sync.Mutex
	pairs map[pairKey]*pairEntry
	// keys are the keys of pairs, at most MaxPairs/shardCount.
	keys []pairKey
	// evictNext is the index in keys at which the next eviction starts its
	// comparison.
	evictNext int
}

// Estimator predicts output lengths. It is safe for concurrent use.
type Estimator struct {
	options Options
	prior   distribution
	shards  [shardCount]shard

	mu sync.Mutex
	// rules and global are the broader life tables that supplement those of the
	// pairs.
	rules  map[currantwood.RuleID]*ruleEntry
	global lifeTable
}

// New returns an estimator without observations.
func New(options Options) *Estimator {
	e := &Estimator{
		options: options,
		prior:   defaultPrior(),
		rules:   map[currantwood.RuleID]*ruleEntry{},
	}
	for i := range e.shards {
		e.shards[i].pairs = map[pairKey]*pairEntry{}
	}
	return e
}

var _ currantwood.Estimator = (*Estimator)(nil)

// Observe records the length of a finished stream that was not passed to
// ObserveProgress. A stream that was canceled or broken off must not be passed,
// since its full length is unknown. One that ended at its MaxTokens counts as
// finished.
func (e *Estimator) Observe(now time.Time, customer currantwood.CustomerID, rule currantwood.RuleID, length currantwood.TokenCount) {
	e.ObserveFinished(now, customer, rule, 0, length)
}

// ObserveProgress records that a stream still runs after soFar tokens. observed
// is soFar of the previous call for this stream; 0 the first time. It returns
// the number of tokens at which it must be called again.
func (e *Estimator) ObserveProgress(now time.Time, customer currantwood.CustomerID, rule currantwood.RuleID, observed, soFar currantwood.TokenCount) currantwood.TokenCount {
	e.update(now, customer, rule, func(t *lifeTable) { t.addReached(firstUnobserved(observed), bucketOf(soFar)) })
	return currantwood.TokenCount(bucketEnd(bucketOf(soFar))) + 1
}

// ObserveFinished records the length of a finished stream as Observe does.
// observed is soFar of the last call of ObserveProgress for it; 0 if there was
// none.
func (e *Estimator) ObserveFinished(now time.Time, customer currantwood.CustomerID, rule currantwood.RuleID, observed, length currantwood.TokenCount) {
	bucket := bucketOf(length)
	e.update(now, customer, rule, func(t *lifeTable) {
		t.decay(now, e.options.DecayStreams, e.options.HalfLife)
		t.addReached(firstUnobserved(observed), bucket)
		t.addEnded(bucket)
	})
}

// firstUnobserved returns the first bucket in which a stream is not counted
// yet.
func firstUnobserved(observed currantwood.TokenCount) int {
	if observed == 0 {
		return 0
	}
	return bucketOf(observed) + 1
}

// update applies change to the pair's, the rule's and the global life table.
func (e *Estimator) update(now time.Time, customer currantwood.CustomerID, rule currantwood.RuleID, change func(*lifeTable)) {
	e.updateRule(rule, change)
	s := e.shardOf(customer)
	s.mu.Lock()
	defer s.mu.Unlock()
	key := pairKey{customer: customer, rule: rule}
	entry, known := s.pairs[key]
	if !known {
		entry = s.add(key, max(e.options.MaxPairs/shardCount, 1))
	}
	change(&entry.lifeTable)
	entry.updatedAt = now
	entry.curve = nil
}

// evictionSample is the number of pairs that an eviction compares.
const evictionSample = 8

// add adds a new pair. If the shard is full, it evicts the least recently
// updated of the next evictionSample pairs.
func (s *shard) add(key pairKey, limit int) *pairEntry {
	added := &pairEntry{}
	s.pairs[key] = added
	if len(s.keys) < limit {
		s.keys = append(s.keys, key)
		return added
	}
	oldest := s.evictNext
	for range min(evictionSample, len(s.keys)) {
		if s.pairs[s.keys[s.evictNext]].updatedAt.Before(s.pairs[s.keys[oldest]].updatedAt) {
			oldest = s.evictNext
		}
		s.evictNext = (s.evictNext + 1) % len(s.keys)
	}
	delete(s.pairs, s.keys[oldest])
	s.keys[oldest] = key
	return added
}

// Remaining returns the given quantile (0 to 1) of the remaining length of a
// stream that has produced soFar tokens.
func (e *Estimator) Remaining(customer currantwood.CustomerID, rule currantwood.RuleID, soFar currantwood.TokenCount, quantile float64) currantwood.TokenCount {
	return e.Curve(customer, rule).Remaining(soFar, quantile)
}

// Curve returns the current survival curve of a pair, or of its rule if the
// pair has no life table.
func (e *Estimator) Curve(customer currantwood.CustomerID, rule currantwood.RuleID) *Curve {
	view := e.ruleView(rule)
	s := e.shardOf(customer)
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, known := s.pairs[pairKey{customer: customer, rule: rule}]
	if !known {
		return view.curve
	}
	if entry.curve == nil || entry.ruleObservations+maxCurveLag <= view.observations {
		combined := entry.lifeTable.withPrior(&view.distribution, e.options.PriorWeight)
		entry.curve = newCurve(&combined)
		entry.ruleObservations = view.observations
	}
	return entry.curve
}

// maxCurveLag is the number of updates of a rule's life table after which the
// curves computed from it are recomputed.
const maxCurveLag = 32

// ruleView is a rule's distribution, combined with the global one, and its
// curve. It is immutable.
type ruleView struct {
	distribution distribution
	curve        *Curve
	// observations is ruleEntry.observations at the time of the computation.
	observations uint64
}

// maxRules is the maximum number of rules with their own life table. Further
// rules use the global one.
const maxRules = 4096

// ruleEntry is a rule's life table and the view computed from it.
type ruleEntry struct {
	lifeTable lifeTable
	// observations is the number of updates of lifeTable.
	observations uint64
	// view is nil until it is first needed.
	view *ruleView
}

// updateRule applies change to the rule's and the global life table.
func (e *Estimator) updateRule(rule currantwood.RuleID, change func(*lifeTable)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.global)
	entry, known := e.rules[rule]
	if !known {
		if len(e.rules) >= maxRules {
			return
		}
		entry = &ruleEntry{}
		e.rules[rule] = entry
	}
	change(&entry.lifeTable)
	entry.observations++
}

// ruleView returns the rule's view, recomputed after maxCurveLag updates; for a
// rule without a life table, that of the global one.
func (e *Estimator) ruleView(rule currantwood.RuleID) *ruleView {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry, known := e.rules[rule]
	if !known {
		global := e.global.withPrior(&e.prior, e.options.PriorWeight)
		return &ruleView{distribution: global, curve: newCurve(&global)}
	}
	if entry.view == nil || entry.view.observations+maxCurveLag <= entry.observations {
		global := e.global.withPrior(&e.prior, e.options.PriorWeight)
		combined := entry.lifeTable.withPrior(&global, e.options.PriorWeight)
		entry.view = &ruleView{distribution: combined, curve: newCurve(&combined), observations: entry.observations}
	}
	return entry.view
}

func (e *Estimator) shardOf(customer currantwood.CustomerID) *shard {
	return &e.shards[xxhash.Sum64String(string(customer))%shardCount]
}

// Pairs returns the number of pairs of customer and rule.
func (e *Estimator) Pairs() int {
	n := 0
	for i := range e.shards {
		e.shards[i].mu.Lock()
		n += len(e.shards[i].pairs)
		e.shards[i].mu.Unlock()
	}
	return n
}
