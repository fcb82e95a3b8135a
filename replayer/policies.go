package replayer

import (
	"math/rand/v2"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/estimator"
	"github.com/currantwood/currantwood/gatekeeper"
	"github.com/currantwood/currantwood/picker"
	"github.com/currantwood/currantwood/standin/batcher"
)

// selector routes the requests of one entry.
type selector interface {
	// pick returns the index of the selected candidate, or -1 if none is suitable.
	pick(now time.Time, demand currantwood.Demand, candidates []currantwood.Candidate) int
}

// policy is a named combination of routing and admission.
type policy struct {
	name         string
	newSelector  func(region currantwood.RegionID, random *rand.Rand) selector
	newAdmission func(r *Replayer, engineOptions batcher.Options) admission
	// enforceShares makes entries limit customers to their fair shares.
	enforceShares bool
	// promiseSlots makes entries assign each refused client a slot: a time at which its
	// retry takes precedence over new requests.
	promiseSlots bool
}

var policies = []policy{
	{name: "round-robin", newSelector: newRoundRobin, newAdmission: newUnlimitedAdmission},
	{name: "fewest-outstanding", newSelector: newFewestOutstanding, newAdmission: newUnlimitedAdmission},
	{name: "two-choices", newSelector: newTwoChoices, newAdmission: newUnlimitedAdmission},
	{name: "stream-count", newSelector: newTwoChoices, newAdmission: newStreamCountAdmission},
	{name: "oracle", newSelector: newPickerSelector, newAdmission: newOracleAdmission, enforceShares: true, promiseSlots: true},
	{name: "currantwood-no-promise", newSelector: newPickerSelector, newAdmission: newGatekeeperAdmission, enforceShares: true},
	{name: "currantwood", newSelector: newPickerSelector, newAdmission: newGatekeeperAdmission, enforceShares: true, promiseSlots: true},
}

// Policies returns the names of all policies.
func Policies() []string {
	names := make([]string, 0, len(policies))
	for _, p := range policies {
		names = append(names, p.name)
	}
	return names
}

func findPolicy(name string) (policy, bool) {
	for _, p := range policies {
		if p.name == name {
			return p, true
		}
	}
	return policy{}, false
}

// roundRobin selects the candidates of the entry's region in turn, as long as the
// set of candidates stays the same.
type roundRobin struct {
	region currantwood.RegionID
	picks  int
}

func newRoundRobin(region currantwood.RegionID, _ *rand.Rand) selector {
	return &roundRobin{region: region}
}

func (s *roundRobin) pick(_ time.Time, _ currantwood.Demand, candidates []currantwood.Candidate) int {
	indexes := regionCandidates(s.region, candidates)
	if len(indexes) == 0 {
		return -1
	}
	s.picks++
	return indexes[s.picks%len(indexes)]
}

// fewestOutstanding selects the candidate of the entry's region with the fewest
// requests of this entry in flight.
type fewestOutstanding struct{ region currantwood.RegionID }

func newFewestOutstanding(region currantwood.RegionID, _ *rand.Rand) selector {
	return fewestOutstanding{region: region}
}

func (s fewestOutstanding) pick(_ time.Time, _ currantwood.Demand, candidates []currantwood.Candidate) int {
	best := -1
	for _, i := range regionCandidates(s.region, candidates) {
		if best < 0 || candidates[i].InFlight < candidates[best].InFlight {
			best = i
		}
	}
	return best
}

// twoChoices draws two candidates of the entry's region at random, with replacement,
// and selects the one with the lower Candidate.QueueLength.
type twoChoices struct {
	region currantwood.RegionID
	random *rand.Rand
}

func newTwoChoices(region currantwood.RegionID, random *rand.Rand) selector {
	return twoChoices{region: region, random: random}
}

func (s twoChoices) pick(_ time.Time, _ currantwood.Demand, candidates []currantwood.Candidate) int {
	indexes := regionCandidates(s.region, candidates)
	if len(indexes) == 0 {
		return -1
	}
	a, b := indexes[s.random.IntN(len(indexes))], indexes[s.random.IntN(len(indexes))]
	if candidates[b].QueueLength < candidates[a].QueueLength {
		return b
	}
	return a
}

// regionCandidates returns the indexes of the candidates in a region, or of all
// candidates if the region has none.
func regionCandidates(region currantwood.RegionID, candidates []currantwood.Candidate) (indexes []int) {
	for i := range candidates {
		if candidates[i].Region == region {
			indexes = append(indexes, i)
		}
	}
	if len(indexes) > 0 {
		return indexes
	}
	for i := range candidates {
		indexes = append(indexes, i)
	}
	return indexes
}

// pickerSelector adapts a picker to selector.
type pickerSelector struct{ picker *picker.Picker }

func newPickerSelector(region currantwood.RegionID, random *rand.Rand) selector {
	return pickerSelector{picker: picker.New(picker.DefaultOptions(region), random)}
}

func (s pickerSelector) pick(now time.Time, demand currantwood.Demand, candidates []currantwood.Candidate) int {
	return s.picker.Pick(now, demand, candidates)
}

func newUnlimitedAdmission(*Replayer, batcher.Options) admission { return unlimitedAdmission{} }

// newStreamCountAdmission limits the requests at the engine to as many as fill its
// memory if each holds as many tokens as the prompt and output of the trace's
// requests have on average. This baseline knows the output lengths in advance.
func newStreamCountAdmission(r *Replayer, engineOptions batcher.Options) admission {
	var total currantwood.TokenCount
	for i := range r.trace.Requests {
		total += r.trace.Requests[i].PromptTokens + r.trace.Requests[i].OutputTokens
	}
	mean := float64(total) / float64(len(r.trace.Requests))
	return newStreamCountLimit(max(int(float64(engineOptions.MemoryTokens)/mean), 1))
}

func newGatekeeperAdmission(_ *Replayer, engineOptions batcher.Options) admission {
	return gatekeeperAdmission{gatekeeper: gatekeeper.New(gatekeeperOptions(engineOptions), estimator.New(estimator.DefaultOptions()))}
}

// newOracleAdmission gives the gatekeeper the output lengths in advance, to measure
// what exact predictions would gain.
func newOracleAdmission(r *Replayer, engineOptions batcher.Options) admission {
	options := gatekeeperOptions(engineOptions)
	lengths := make(map[currantwood.RequestID]currantwood.TokenCount, len(r.trace.Requests))
	options.KnownLength = func(id currantwood.RequestID) currantwood.TokenCount {
		// Filled on first use, since the engines are built before the requests.
		if len(lengths) == 0 {
			for _, req := range r.requests {
				lengths[req.id] = req.traced.OutputTokens
			}
		}
		return lengths[id]
	}
	return gatekeeperAdmission{gatekeeper: gatekeeper.New(options, estimator.New(estimator.DefaultOptions()))}
}

func gatekeeperOptions(engineOptions batcher.Options) gatekeeper.Options {
	options := gatekeeper.DefaultOptions()
	options.MemoryTokens = engineOptions.MemoryTokens
	options.MaxRunning = engineOptions.MaxRunning
	return options
}
