package tracer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"strings"

	"github.com/pkg/errors"

	"github.com/currantwood/currantwood"
)

// GenerateOptions selects the trace to generate.
type GenerateOptions struct {
	// Profile is the name of the distributions, one of Profiles.
	Profile string
	// Seed seeds the random draws.
	Seed uint64
	// Requests is the number of requests; at least 10.
	Requests int
	// MemoryTokens is the memory of each engine; 0 selects the default.
	MemoryTokens currantwood.TokenCount
}

// Profiles returns the names of the generator's profiles.
func Profiles() []string {
	names := make([]string, 0, len(profiles))
	for _, p := range profiles {
		names = append(names, p.name)
	}
	return names
}

// Generate returns a random trace whose offered load is 1. Equal options give equal
// traces. An unknown profile or too few requests are errors.
func Generate(options GenerateOptions) (*Trace, error) {
	p, known := findProfile(options.Profile)
	if !known {
		return nil, errors.Errorf("tracer: unknown profile %q; the profiles are %s", options.Profile, strings.Join(Profiles(), ", "))
	}
	if options.Requests < 10 {
		return nil, errors.Errorf("tracer: cannot generate %d requests; the minimum is 10", options.Requests)
	}
	t := &Trace{Header: p.header(options)}
	// The length of the profile's name varies the draws between profiles, except
	// where two names are of equal length. Another second seed would change the
	// golden traces in replayer/testdata.
	g := &generator{profile: p, random: rand.New(rand.NewPCG(options.Seed, uint64(len(p.name)))), regions: t.Header.Regions}
	for _, at := range g.drawArrivals(options.Requests) {
		t.Requests = append(t.Requests, g.drawRequest(at))
	}
	t.scaleArrivals(t.OfferedLoad())
	for _, reclaim := range p.reclaims {
		reclaim.AtMs = reclaim.AtMs * t.Duration().Milliseconds() / unscaledDurationMs
		t.Header.Reclaims = append(t.Header.Reclaims, reclaim)
	}
	return t, nil
}

// unscaledDurationMs is the time over which arrivals are drawn, before they are
// scaled to an offered load of 1.
const unscaledDurationMs = 1_000_000

// scaleArrivals multiplies the arrival times by a factor.
func (t *Trace) scaleArrivals(factor float64) {
	for i := range t.Requests {
		r := &t.Requests[i]
		r.ArrivalMs = int64(math.Round(float64(r.ArrivalMs) * factor))
	}
}

// generator draws the requests of one trace.
type generator struct {
	profile profile
	random  *rand.Rand
	regions []RegionEngines
}

// drawArrivals returns n sorted arrival times in milliseconds, drawn from the
// profile's arrival rate by thinning.
func (g *generator) drawArrivals(n int) []int64 {
	highest := 0.0
	for progress := 0.0; progress < 1; progress += 0.001 {
		highest = max(highest, g.profile.arrivalRate(progress))
	}
	times := make([]int64, 0, n)
	for len(times) < n {
		progress := g.random.Float64()
		if g.random.Float64()*highest <= g.profile.arrivalRate(progress) {
			times = append(times, int64(progress*unscaledDurationMs))
		}
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	return times
}

func (g *generator) drawRequest(atMs int64) Request {
	progress := float64(atMs) / unscaledDurationMs
	rule := g.drawRule()
	customer := g.drawCustomer(progress)
	prompt := rule.prompt.draw(g.random, 1)
	r := Request{
		ArrivalMs:    atMs,
		Region:       g.regions[g.random.IntN(len(g.regions))].Region,
		Customer:     currantwood.CustomerID(fmt.Sprintf("customer-%d", customer)),
		Rule:         rule.name,
		Class:        rule.class.String(),
		Priority:     rule.priority,
		Model:        "writer",
		PromptTokens: prompt,
		OutputTokens: rule.output.draw(g.random, g.profile.outputScale(progress)*customerOutputScale(customer)),
		DeadlineMs:   rule.deadlineMs,
	}
	if rule.prefixesPerCustomer > 0 {
		r.PrefixID = currantwood.PrefixID(1 + customer*rule.prefixesPerCustomer + g.random.IntN(rule.prefixesPerCustomer))
		r.PrefixTokens = prompt * prefixPercent / 100
	}
	return r
}

// prefixPercent is the percentage of a prompt's tokens that its prefix covers.
// Prefixes with the same ID therefore differ in length, as their prompts do. Of a
// cached prefix, package batcher reuses at most as many tokens as were cached.
const prefixPercent = 60

// customerOutputScale returns the factor on the length of a customer's outputs,
// between 0.6 and 1.4, so that customers differ in it.
func customerOutputScale(customer int) float64 {
	return 0.6 + 0.2*float64(customer%5)
}

func (g *generator) drawRule() ruleWorkload {
	remaining := g.random.Float64()
	for _, rule := range g.profile.rules {
		if remaining < rule.requestShare {
			return rule
		}
		remaining -= rule.requestShare
	}
	return g.profile.rules[len(g.profile.rules)-1]
}

// drawCustomer returns the number of a customer. Customer n is drawn with a weight
// of 1/(1+n/2). During a flood, the share floodShare of all requests goes to
// customer 0, in addition to its part of the others.
func (g *generator) drawCustomer(progress float64) int {
	if g.profile.floodShare > 0 && progress > floodStart && g.random.Float64() < g.profile.floodShare {
		return 0
	}
	total := 0.0
	for n := range customerCount {
		total += 1 / (1 + float64(n)/2)
	}
	remaining := g.random.Float64() * total
	for n := range customerCount {
		remaining -= 1 / (1 + float64(n)/2)
		if remaining < 0 {
			return n
		}
	}
	return customerCount - 1
}

const (
	// customerCount is the number of customers in each trace.
	customerCount = 10
	// floodStart is the fraction of the trace after which a flood begins.
	floodStart = 0.35
)

// boundedLognormal is a lognormal distribution of lengths in tokens, clamped to
// [lower, upper].
type boundedLognormal struct {
	// sigma is the standard deviation of the logarithm.
	median, sigma float64
	lower, upper  float64
}

// draw returns a random length, scaled before it is clamped.
func (d boundedLognormal) draw(random *rand.Rand, scale float64) currantwood.TokenCount {
	length := d.median * scale * math.Exp(d.sigma*random.NormFloat64())
	return currantwood.TokenCount(min(max(length, d.lower), d.upper))
}
