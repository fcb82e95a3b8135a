package tracer

import "github.com/currantwood/currantwood"

// profile is the set of distributions from which a trace is generated. The argument
// progress of its functions runs from 0 at the start of the trace to 1 at its end.
type profile struct {
	name    string
	regions []RegionEngines
	rules   []ruleWorkload
	// arrivalRate returns the arrival rate, relative to other times.
	arrivalRate func(progress float64) float64
	// outputScale returns the factor on the length of outputs.
	outputScale func(progress float64) float64
	// floodShare is the share of requests that customer 0 sends during a flood, in
	// addition to its part of the others; 0 if there is no flood.
	floodShare float64
	// oneWayMs is Header.OneWayMs.
	oneWayMs float64
	// reportsLost is Header.ReportsLost.
	reportsLost float64
	// reclaims have AtMs in [0, unscaledDurationMs]; it is scaled to the trace's
	// duration.
	reclaims []Reclaim
}

// ruleWorkload describes the requests of one rule.
type ruleWorkload struct {
	name     currantwood.RuleID
	class    currantwood.Class
	priority currantwood.Priority
	// requestShare is the share of all requests; the shares of a profile's rules
	// add up to 1.
	requestShare float64
	prompt       boundedLognormal
	output       boundedLognormal
	deadlineMs   int64
	// prefixesPerCustomer is the number of distinct prompt prefixes of each
	// customer; 0 if prompts have none.
	prefixesPerCustomer int
}

// The workloads of two example sites, named as in package standin/sites:
// summaryWorkload, receiptWorkload and harbourlineRegions belong to Harbourline,
// planWorkload, manifestWorkload and cooperativeRegions to the cooperative.
var (
	summaryWorkload = ruleWorkload{
		name: "summaries", class: currantwood.ClassStream, priority: 5, requestShare: 0.85,
		prompt:     boundedLognormal{median: 260, sigma: 0.4, lower: 40, upper: 1000},
		output:     boundedLognormal{median: 220, sigma: 0.6, lower: 20, upper: 1500},
		deadlineMs: 60_000, prefixesPerCustomer: 2,
	}
	receiptWorkload = ruleWorkload{
		name: "receipt-checks", class: currantwood.ClassCheck, priority: 7, requestShare: 0.15,
		prompt:     boundedLognormal{median: 60, sigma: 0.3, lower: 20, upper: 150},
		output:     boundedLognormal{median: 2, sigma: 0.4, lower: 1, upper: 5},
		deadlineMs: 5_000,
	}
	planWorkload = ruleWorkload{
		name: "season-plans", class: currantwood.ClassStream, priority: 5, requestShare: 0.6,
		prompt:     boundedLognormal{median: 220, sigma: 0.4, lower: 40, upper: 1000},
		output:     boundedLognormal{median: 420, sigma: 0.6, lower: 30, upper: 2500},
		deadlineMs: 120_000, prefixesPerCustomer: 2,
	}
	manifestWorkload = ruleWorkload{
		name: "manifest-checks", class: currantwood.ClassCheck, priority: 7, requestShare: 0.4,
		prompt:     boundedLognormal{median: 80, sigma: 0.3, lower: 20, upper: 200},
		output:     boundedLognormal{median: 2, sigma: 0.4, lower: 1, upper: 5},
		deadlineMs: 5_000,
	}
)

var (
	harbourlineRegions = []RegionEngines{{Region: "kingston", Engines: 2}, {Region: "montego", Engines: 2}, {Region: "mandeville", Engines: 2}}
	cooperativeRegions = []RegionEngines{{Region: "selenge", Engines: 2}, {Region: "orkhon", Engines: 2}, {Region: "khovd", Engines: 2}}
)

// defaultOneWayMs is the one-way delay between two regions in most profiles.
const defaultOneWayMs = 12

var profiles = []profile{
	{
		name: "harbourline-morning", regions: harbourlineRegions, rules: []ruleWorkload{summaryWorkload, receiptWorkload},
		arrivalRate: midTraceBurst, outputScale: constant, oneWayMs: defaultOneWayMs,
	},
	{
		name: "cooperative-season", regions: cooperativeRegions, rules: []ruleWorkload{planWorkload, manifestWorkload},
		arrivalRate: midTraceBurst, outputScale: constant, oneWayMs: defaultOneWayMs,
	},
	{
		name: "one-flood", regions: harbourlineRegions, rules: []ruleWorkload{summaryWorkload, receiptWorkload},
		arrivalRate: floodRate, outputScale: constant, floodShare: 0.6, oneWayMs: defaultOneWayMs,
	},
	{
		name: "heavy-tails", regions: cooperativeRegions, rules: []ruleWorkload{withHeavyTail(planWorkload), manifestWorkload},
		arrivalRate: constant, outputScale: constant, oneWayMs: defaultOneWayMs,
	},
	{
		name: "noon-shift", regions: harbourlineRegions, rules: []ruleWorkload{summaryWorkload, receiptWorkload},
		arrivalRate: constant, outputScale: longerSecondHalf, oneWayMs: defaultOneWayMs,
	},
	{
		name: "reclaimed-third", regions: harbourlineRegions, rules: []ruleWorkload{summaryWorkload, receiptWorkload},
		arrivalRate: midTraceBurst, outputScale: constant, oneWayMs: defaultOneWayMs,
		reclaims: []Reclaim{{AtMs: 450_000, NoticeMs: 5000, Engines: []int{1, 3}}},
	},
	{
		name: "missing-reports", regions: harbourlineRegions, rules: []ruleWorkload{summaryWorkload, receiptWorkload},
		arrivalRate: midTraceBurst, outputScale: constant, oneWayMs: defaultOneWayMs, reportsLost: 0.5,
	},
	{
		name: "slow-link", regions: cooperativeRegions, rules: []ruleWorkload{planWorkload, manifestWorkload},
		arrivalRate: midTraceBurst, outputScale: constant, oneWayMs: 200,
	},
}

// constant is an arrival rate or output scale that does not change.
func constant(float64) float64 { return 1 }

// midTraceBurst doubles the rate in the middle third of the trace.
func midTraceBurst(progress float64) float64 {
	if progress > 1.0/3 && progress < 2.0/3 {
		return 2
	}
	return 1
}

// floodRate is the arrival rate of a trace with a flood. With a floodShare of 0.6,
// the rate of the requests outside the flood remains 1.
func floodRate(progress float64) float64 {
	if progress > floodStart {
		return 2.5
	}
	return 1
}

// longerSecondHalf makes outputs three times as long in the second half of the trace
// as in the first, 2.4 and 0.8 times the length that the rule's distribution gives.
func longerSecondHalf(progress float64) float64 {
	if progress > 0.5 {
		return 2.4
	}
	return 0.8
}

// withHeavyTail returns the rule with a heavy-tailed distribution of output lengths,
// which replaces its own.
func withHeavyTail(rule ruleWorkload) ruleWorkload {
	rule.output = boundedLognormal{median: 200, sigma: 1.2, lower: 10, upper: 3000}
	return rule
}

func findProfile(name string) (profile, bool) {
	for _, p := range profiles {
		if p.name == name {
			return p, true
		}
	}
	return profile{}, false
}

// defaultMemoryTokens is the memory of an engine if GenerateOptions has none.
const defaultMemoryTokens = 8000

// header returns the header of a trace. The step times and batch limits are those of
// batcher.DefaultOptions.
func (p *profile) header(options GenerateOptions) Header {
	memory := options.MemoryTokens
	if memory == 0 {
		memory = defaultMemoryTokens
	}
	return Header{
		Name:        p.name,
		Source:      "generator",
		Seed:        options.Seed,
		Regions:     p.regions,
		OneWayMs:    p.oneWayMs,
		ReportsLost: p.reportsLost,
		Engine: EngineSpec{
			MemoryTokens:       memory,
			CacheTokens:        memory / 2,
			MaxRunning:         128,
			PrefillChunk:       384,
			StepBaseUs:         10_000,
			StepPerStreamUs:    60,
			StepPerHeldTokenUs: 0.06,
			PrefillPerTokenUs:  25,
		},
	}
}
