package estimator

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/currantwood/currantwood"
)

// Options bound what an estimator keeps and how fast it forgets.
type Options struct {
	// MaxPairs bounds the customer and rule pairs that are kept, at about 1,000
	// bytes each.
	MaxPairs int
	// Memory is the number of streams after which an observation has lost
	// about two thirds of its weight; more than 1.
	Memory float64
	// HalfLife is the time after which an observation has lost half of its
	// weight.
	HalfLife time.Duration
	// PriorCount is how many observations the next wider histogram counts for.
	PriorCount float64
}

// DefaultOptions keep 9,500 customers with three rules each within 30 MB.
func DefaultOptions() Options {
	return Options{
		MaxPairs:   28_500,
		Memory:     40,
		HalfLife:   20 * time.Minute,
		PriorCount: 15,
	}
}

// shards is the number of locks over the pairs.
const shards = 16

// pair names a histogram.
type pair struct {
	customer currantwood.CustomerID
	rule     currantwood.RuleID
}

// entry is one pair's histogram and the curve made from it.
type entry struct {
	histogram histogram
	// curve is nil when an observation came after it was made.
	curve *Curve
	// made is the made of the wide view that curve leans on.
	made uint64
	// used is when it was last changed.
	used time.Time
}

// shard keeps some of the pairs.
type shard struct {
	mu    sync.Mutex
	pairs map[pair]*entry
	// keys are the keys of pairs, at most MaxPairs/shards.
	keys []pair
	// hand is where the next eviction looks first.
	hand int
}

// Estimator predicts output lengths. It is safe for concurrent use.
type Estimator struct {
	options Options
	prior   density
	shards  [shards]shard

	mu sync.Mutex
	// rules and global back up pairs with few observations.
	rules  map[currantwood.RuleID]*ruleEntry
	global histogram
}

// New returns an estimator that has seen nothing.
func New(options Options) *Estimator {
	e := &Estimator{
		options: options,
		prior:   broadPrior(),
		rules:   map[currantwood.RuleID]*ruleEntry{},
	}
	for i := range e.shards {
		e.shards[i].pairs = map[pair]*entry{}
	}
	return e
}

var _ currantwood.Estimator = (*Estimator)(nil)

// Observe takes in a finished stream of which nothing was told before. One that
// was cut short must not be given: its length is not known.
func (e *Estimator) Observe(now time.Time, customer currantwood.CustomerID, rule currantwood.RuleID, length currantwood.TokenCount) {
	e.Finished(now, customer, rule, 0, length)
}

// Reached takes in that a stream still runs after soFar tokens, where counted
// is the soFar that was told of it before; 0 the first time. It returns at how
// many tokens it needs to be called again.
func (e *Estimator) Reached(now time.Time, customer currantwood.CustomerID, rule currantwood.RuleID, counted, soFar currantwood.TokenCount) currantwood.TokenCount {
	e.update(now, customer, rule, func(h *histogram) { h.reach(firstNew(counted), bucketOf(soFar)) })
	return currantwood.TokenCount(upper(bucketOf(soFar))) + 1
}

// Finished takes in that a stream ended, where counted is what was told to
// Reached last; 0 when it never was.
func (e *Estimator) Finished(now time.Time, customer currantwood.CustomerID, rule currantwood.RuleID, counted, length currantwood.TokenCount) {
	bucket := bucketOf(length)
	e.update(now, customer, rule, func(h *histogram) {
		h.age(now, e.options.Memory, e.options.HalfLife)
		h.reach(firstNew(counted), bucket)
		h.end(bucket)
	})
}

// firstNew is the first bucket that a stream was not yet counted in.
func firstNew(counted currantwood.TokenCount) int {
	if counted == 0 {
		return 0
	}
	return bucketOf(counted) + 1
}

// update changes the pair's, the rule's and the global histogram.
func (e *Estimator) update(now time.Time, customer currantwood.CustomerID, rule currantwood.RuleID, change func(*histogram)) {
	e.updateWide(rule, change)
	s := e.shardOf(customer)
	s.mu.Lock()
	defer s.mu.Unlock()
	key := pair{customer: customer, rule: rule}
	kept, known := s.pairs[key]
	if !known {
		kept = s.add(key, max(e.options.MaxPairs/shards, 1))
	}
	change(&kept.histogram)
	kept.used = now
	kept.curve = nil
}

// evictionSample is how many pairs are compared when one has to go.
const evictionSample = 8

// add puts a new pair into its shard. When the shard is full it takes the place
// of the one that was observed longest ago among the next few.
func (s *shard) add(key pair, limit int) *entry {
	fresh := &entry{}
	s.pairs[key] = fresh
	if len(s.keys) < limit {
		s.keys = append(s.keys, key)
		return fresh
	}
	oldest := s.hand
	for range min(evictionSample, len(s.keys)) {
		if s.pairs[s.keys[s.hand]].used.Before(s.pairs[s.keys[oldest]].used) {
			oldest = s.hand
		}
		s.hand = (s.hand + 1) % len(s.keys)
	}
	delete(s.pairs, s.keys[oldest])
	s.keys[oldest] = key
	return fresh
}

// Remaining returns the remaining length at the given quantile of a stream
// that has produced soFar tokens.
func (e *Estimator) Remaining(customer currantwood.CustomerID, rule currantwood.RuleID, soFar currantwood.TokenCount, quantile float64) currantwood.TokenCount {
	return e.Curve(customer, rule).Remaining(soFar, quantile)
}

// Curve returns the distribution that is believed now.
func (e *Estimator) Curve(customer currantwood.CustomerID, rule currantwood.RuleID) *Curve {
	wide := e.wide(rule)
	s := e.shardOf(customer)
	s.mu.Lock()
	defer s.mu.Unlock()
	kept, known := s.pairs[pair{customer: customer, rule: rule}]
	if !known {
		return wide.curve
	}
	if kept.curve == nil || kept.made+curveLag <= wide.made {
		mixed := kept.histogram.lean(&wide.density, e.options.PriorCount)
		kept.curve = newCurve(&mixed)
		kept.made = wide.made
	}
	return kept.curve
}

// curveLag is how many of a rule's observations a pair's curve may be behind.
const curveLag = 32

// wideView is a rule's distribution, leaned on the global one. It is not
// changed after it was made.
type wideView struct {
	density density
	curve   *Curve
	// made is the rule's number of observations when it was made.
	made uint64
}

// maxRules bounds the rules with a histogram of their own; others lean on the
// global one.
const maxRules = 4096

// ruleEntry is one rule's histogram and the view made from it.
type ruleEntry struct {
	histogram histogram
	// observed counts the observations.
	observed uint64
	// view is nil before the first use.
	view *wideView
}

// updateWide changes the rule's and the global histogram.
func (e *Estimator) updateWide(rule currantwood.RuleID, change func(*histogram)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.global)
	kept, known := e.rules[rule]
	if !known {
		if len(e.rules) >= maxRules {
			return
		}
		kept = &ruleEntry{}
		e.rules[rule] = kept
	}
	change(&kept.histogram)
	kept.observed++
}

// wide returns the rule's distribution.
func (e *Estimator) wide(rule currantwood.RuleID) *wideView {
	e.mu.Lock()
	defer e.mu.Unlock()
	kept, known := e.rules[rule]
	if !known {
		global := e.global.lean(&e.prior, e.options.PriorCount)
		return &wideView{density: global, curve: newCurve(&global)}
	}
	if kept.view == nil || kept.view.made+curveLag <= kept.observed {
		global := e.global.lean(&e.prior, e.options.PriorCount)
		mixed := kept.histogram.lean(&global, e.options.PriorCount)
		kept.view = &wideView{density: mixed, curve: newCurve(&mixed), made: kept.observed}
	}
	return kept.view
}

func (e *Estimator) shardOf(customer currantwood.CustomerID) *shard {
	return &e.shards[xxhash.Sum64String(string(customer))%shards]
}

// Pairs returns how many customer and rule pairs are kept.
func (e *Estimator) Pairs() int {
	n := 0
	for i := range e.shards {
		e.shards[i].mu.Lock()
		n += len(e.shards[i].pairs)
		e.shards[i].mu.Unlock()
	}
	return n
}
