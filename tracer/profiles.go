package tracer

import "github.com/currantwood/currantwood"

// profile is one kind of trace.
type profile struct {
	name    string
	regions []RegionEngines
	rules   []ruleShape
	// rate is the relative arrival rate at a part of the trace.
	rate func(part float64) float64
	// stretch scales the outputs of streams at a part of the trace.
	stretch func(part float64) float64
	// flood is the part of requests that customer 0 sends while it floods.
	flood       float64
	oneWayMs    float64
	reportsLost float64
	// reclaims have AtMs out of arrivalSpanMs.
	reclaims []Reclaim
}

// ruleShape is one rule's requests.
type ruleShape struct {
	name     currantwood.RuleID
	class    currantwood.Class
	priority currantwood.Priority
	// share is the part of all requests.
	share      float64
	prompt     lengths
	output     lengths
	deadlineMs int64
	// prefixes is the number of prompt prefixes of a customer.
	prefixes int
}

// The rules of the two users.
var (
	summaries = ruleShape{
		name: "summaries", class: currantwood.ClassStream, priority: 5, share: 0.85,
		prompt:     lengths{median: 260, sigma: 0.4, least: 40, most: 1000},
		output:     lengths{median: 220, sigma: 0.6, least: 20, most: 1500},
		deadlineMs: 60_000, prefixes: 2,
	}
	receipts = ruleShape{
		name: "receipt-checks", class: currantwood.ClassCheck, priority: 7, share: 0.15,
		prompt:     lengths{median: 60, sigma: 0.3, least: 20, most: 150},
		output:     lengths{median: 2, sigma: 0.4, least: 1, most: 5},
		deadlineMs: 5_000,
	}
	plans = ruleShape{
		name: "season-plans", class: currantwood.ClassStream, priority: 5, share: 0.6,
		prompt:     lengths{median: 220, sigma: 0.4, least: 40, most: 1000},
		output:     lengths{median: 420, sigma: 0.6, least: 30, most: 2500},
		deadlineMs: 120_000, prefixes: 2,
	}
	manifests = ruleShape{
		name: "manifest-checks", class: currantwood.ClassCheck, priority: 7, share: 0.4,
		prompt:     lengths{median: 80, sigma: 0.3, least: 20, most: 200},
		output:     lengths{median: 2, sigma: 0.4, least: 1, most: 5},
		deadlineMs: 5_000,
	}
)

var (
	harbourline = []RegionEngines{{Region: "kingston", Engines: 2}, {Region: "montego", Engines: 2}, {Region: "mandeville", Engines: 2}}
	cooperative = []RegionEngines{{Region: "selenge", Engines: 2}, {Region: "orkhon", Engines: 2}, {Region: "khovd", Engines: 2}}
)

// usualOneWayMs is the delay between two regions.
const usualOneWayMs = 12

var profiles = []profile{
	{
		name: "harbourline-morning", regions: harbourline, rules: []ruleShape{summaries, receipts},
		rate: burst, stretch: evenly, oneWayMs: usualOneWayMs,
	},
	{
		name: "cooperative-season", regions: cooperative, rules: []ruleShape{plans, manifests},
		rate: burst, stretch: evenly, oneWayMs: usualOneWayMs,
	},
	{
		name: "one-flood", regions: harbourline, rules: []ruleShape{summaries, receipts},
		rate: flooding, stretch: evenly, flood: 0.6, oneWayMs: usualOneWayMs,
	},
	{
		name: "heavy-tails", regions: cooperative, rules: []ruleShape{heavy(plans), manifests},
		rate: evenly, stretch: evenly, oneWayMs: usualOneWayMs,
	},
	{
		name: "noon-shift", regions: harbourline, rules: []ruleShape{summaries, receipts},
		rate: evenly, stretch: noon, oneWayMs: usualOneWayMs,
	},
	{
		name: "reclaimed-third", regions: harbourline, rules: []ruleShape{summaries, receipts},
		rate: burst, stretch: evenly, oneWayMs: usualOneWayMs,
		reclaims: []Reclaim{{AtMs: 450_000, NoticeMs: 5000, Engines: []int{1, 3}}},
	},
	{
		name: "missing-reports", regions: harbourline, rules: []ruleShape{summaries, receipts},
		rate: burst, stretch: evenly, oneWayMs: usualOneWayMs, reportsLost: 0.5,
	},
	{
		name: "slow-link", regions: cooperative, rules: []ruleShape{plans, manifests},
		rate: burst, stretch: evenly, oneWayMs: 200,
	},
}

// evenly is a rate or stretch that stays the same.
func evenly(float64) float64 { return 1 }

// burst doubles the rate in the middle third of the trace.
func burst(part float64) float64 {
	if part > 1.0/3 && part < 2.0/3 {
		return 2
	}
	return 1
}

// flooding is the rate with a flood. With customer 0 sending 0.6 of it, the
// others go on as before.
func flooding(part float64) float64 {
	if part > floodFrom {
		return 2.5
	}
	return 1
}

// noon makes outputs three times as long from the middle on.
func noon(part float64) float64 {
	if part > 0.5 {
		return 2.4
	}
	return 0.8
}

func heavy(rule ruleShape) ruleShape {
	rule.output = lengths{median: 200, sigma: 1.2, least: 10, most: 3000}
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

// defaultMemory is the memory of an engine in the generator's traces.
const defaultMemory = 8000

func (p *profile) header(options GenerateOptions) Header {
	memory := options.MemoryTokens
	if memory == 0 {
		memory = defaultMemory
	}
	return Header{
		Trace:       p.name,
		Source:      "generator",
		Seed:        options.Seed,
		Regions:     p.regions,
		OneWayMs:    p.oneWayMs,
		ReportsLost: p.reportsLost,
		Engine: EngineSize{
			MemoryTokens: memory,
			CacheTokens:  memory / 2,
			MaxRunning:   128,
			PrefillChunk: 384,
			StepBaseUs:   10_000,
			StepStreamUs: 60,
			StepHeldUs:   0.06,
			PrefillUs:    25,
		},
	}
}
