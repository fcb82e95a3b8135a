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

// chooser is the routing of one entry.
type chooser interface {
	pick(now time.Time, demand currantwood.Demand, candidates []currantwood.Candidate) int
}

// policy is a named set of decisions.
type policy struct {
	name    string
	chooser func(region currantwood.RegionID, random *rand.Rand) chooser
	gate    func(r *Replayer, size batcher.Options) gate
	// limits says that entries hold customers to their shares.
	limits bool
	// promises says that entries tell refused callers a slot of their own.
	promises bool
}

var policies = []policy{
	{name: "round-robin", chooser: newRoundRobin, gate: newOpenGate},
	{name: "fewest-outstanding", chooser: newFewestOutstanding, gate: newOpenGate},
	{name: "two-choices", chooser: newTwoChoices, gate: newOpenGate},
	{name: "stream-count", chooser: newTwoChoices, gate: newStreamCountGate},
	{name: "oracle", chooser: newPicker, gate: newOracleGate, limits: true, promises: true},
	{name: "currantwood-no-promise", chooser: newPicker, gate: newKeeperGate, limits: true},
	{name: "currantwood", chooser: newPicker, gate: newKeeperGate, limits: true, promises: true},
}

// Policies lists the names of all policies.
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

// roundRobin takes the candidates of the own region in turn.
type roundRobin struct {
	region currantwood.RegionID
	next   int
}

func newRoundRobin(region currantwood.RegionID, _ *rand.Rand) chooser {
	return &roundRobin{region: region}
}

func (c *roundRobin) pick(_ time.Time, _ currantwood.Demand, candidates []currantwood.Candidate) int {
	near := ownRegion(c.region, candidates)
	if len(near) == 0 {
		return -1
	}
	c.next++
	return near[c.next%len(near)]
}

// fewestOutstanding takes the candidate with the fewest of this entry's own
// requests.
type fewestOutstanding struct{ region currantwood.RegionID }

func newFewestOutstanding(region currantwood.RegionID, _ *rand.Rand) chooser {
	return fewestOutstanding{region: region}
}

func (c fewestOutstanding) pick(_ time.Time, _ currantwood.Demand, candidates []currantwood.Candidate) int {
	best := -1
	for _, i := range ownRegion(c.region, candidates) {
		if best < 0 || candidates[i].InFlight < candidates[best].InFlight {
			best = i
		}
	}
	return best
}

// twoChoices takes the better by reported load of two drawn at random.
type twoChoices struct {
	region currantwood.RegionID
	random *rand.Rand
}

func newTwoChoices(region currantwood.RegionID, random *rand.Rand) chooser {
	return twoChoices{region: region, random: random}
}

func (c twoChoices) pick(_ time.Time, _ currantwood.Demand, candidates []currantwood.Candidate) int {
	near := ownRegion(c.region, candidates)
	if len(near) == 0 {
		return -1
	}
	a, b := near[c.random.IntN(len(near))], near[c.random.IntN(len(near))]
	if candidates[b].QueueLength < candidates[a].QueueLength {
		return b
	}
	return a
}

// ownRegion returns the candidates of a region, or all where it has none.
func ownRegion(region currantwood.RegionID, candidates []currantwood.Candidate) (near []int) {
	for i := range candidates {
		if candidates[i].Region == region {
			near = append(near, i)
		}
	}
	if len(near) > 0 {
		return near
	}
	for i := range candidates {
		near = append(near, i)
	}
	return near
}

// pickerChooser is the picker itself.
type pickerChooser struct{ picker *picker.Picker }

func newPicker(region currantwood.RegionID, random *rand.Rand) chooser {
	return pickerChooser{picker: picker.New(picker.DefaultOptions(region), random)}
}

func (c pickerChooser) pick(now time.Time, demand currantwood.Demand, candidates []currantwood.Candidate) int {
	return c.picker.Pick(now, demand, candidates)
}

func newOpenGate(*Replayer, batcher.Options) gate { return openGate{} }

// newStreamCountGate admits as many streams as fill memory if each holds its
// prompt and whole output at the trace's mean.
func newStreamCountGate(r *Replayer, size batcher.Options) gate {
	var held currantwood.TokenCount
	for i := range r.trace.Requests {
		held += r.trace.Requests[i].PromptTokens + r.trace.Requests[i].OutputTokens
	}
	mean := float64(held) / float64(len(r.trace.Requests))
	return newCountGate(max(int(float64(size.MemoryTokens)/mean), 1))
}

func newKeeperGate(_ *Replayer, size batcher.Options) gate {
	return keeperGate{keeper: gatekeeper.New(keeperOptions(size), estimator.New(estimator.DefaultOptions()))}
}

func newOracleGate(r *Replayer, size batcher.Options) gate {
	options := keeperOptions(size)
	lengths := make(map[currantwood.RequestID]currantwood.TokenCount, len(r.trace.Requests))
	options.KnownLength = func(id currantwood.RequestID) currantwood.TokenCount {
		if len(lengths) == 0 {
			for _, f := range r.flights {
				lengths[f.id] = f.request.OutputTokens
			}
		}
		return lengths[id]
	}
	return keeperGate{keeper: gatekeeper.New(options, estimator.New(estimator.DefaultOptions()))}
}

func keeperOptions(size batcher.Options) gatekeeper.Options {
	options := gatekeeper.DefaultOptions()
	options.MemoryTokens = size.MemoryTokens
	options.MaxRunning = size.MaxRunning
	return options
}
