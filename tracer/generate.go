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

// GenerateOptions say what to generate.
type GenerateOptions struct {
	// Profile names the distributions; Profiles lists the names.
	Profile string
	Seed    uint64
	// Requests is the number of requests; at least 10.
	Requests int
	// MemoryTokens is the memory of each engine; 0 takes the profile's.
	MemoryTokens currantwood.TokenCount
}

// Profiles lists the names of the generator's profiles.
func Profiles() []string {
	names := make([]string, 0, len(profiles))
	for _, p := range profiles {
		names = append(names, p.name)
	}
	return names
}

// Generate draws a trace whose offered load is 1. The same options give the
// same trace.
func Generate(options GenerateOptions) (*Trace, error) {
	p, known := findProfile(options.Profile)
	if !known {
		return nil, errors.Errorf("tracer: no profile %q; known are %s", options.Profile, strings.Join(Profiles(), ", "))
	}
	if options.Requests < 10 {
		return nil, errors.Errorf("tracer: %d requests; at least 10 are needed", options.Requests)
	}
	t := &Trace{Header: p.header(options)}
	g := &generator{profile: p, random: rand.New(rand.NewPCG(options.Seed, uint64(len(p.name)))), regions: t.Header.Regions}
	for _, at := range g.arrivals(options.Requests) {
		t.Requests = append(t.Requests, g.request(at))
	}
	t.scale(t.OfferedLoad())
	for _, reclaim := range p.reclaims {
		reclaim.AtMs = reclaim.AtMs * t.Span().Milliseconds() / arrivalSpanMs
		t.Header.Reclaims = append(t.Header.Reclaims, reclaim)
	}
	return t, nil
}

// arrivalSpanMs is the span over which arrivals are drawn before they are
// scaled to the load.
const arrivalSpanMs = 1_000_000

// scale stretches the arrivals by a factor.
func (t *Trace) scale(factor float64) {
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

// arrivals draws arrival times with the profile's rate over time, by thinning.
func (g *generator) arrivals(n int) []int64 {
	highest := 0.0
	for part := 0.0; part < 1; part += 0.001 {
		highest = max(highest, g.profile.rate(part))
	}
	times := make([]int64, 0, n)
	for len(times) < n {
		part := g.random.Float64()
		if g.random.Float64()*highest <= g.profile.rate(part) {
			times = append(times, int64(part*arrivalSpanMs))
		}
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	return times
}

func (g *generator) request(atMs int64) Request {
	part := float64(atMs) / arrivalSpanMs
	rule := g.rule()
	customer := g.customer(part)
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
		OutputTokens: rule.output.draw(g.random, g.profile.stretch(part)*customerStretch(customer)),
		DeadlineMs:   rule.deadlineMs,
	}
	if rule.prefixes > 0 {
		r.PrefixID = currantwood.PrefixID(1 + customer*rule.prefixes + g.random.IntN(rule.prefixes))
		r.PrefixTokens = prompt * prefixPercent / 100
	}
	return r
}

// prefixPercent is the part of a prompt that its prefix covers.
const prefixPercent = 60

// customerStretch makes some customers' outputs longer than others': by up to
// half more or less.
func customerStretch(customer int) float64 {
	return 0.6 + 0.2*float64(customer%5)
}

func (g *generator) rule() ruleShape {
	at := g.random.Float64()
	for _, rule := range g.profile.rules {
		if at < rule.share {
			return rule
		}
		at -= rule.share
	}
	return g.profile.rules[len(g.profile.rules)-1]
}

// customer draws a customer: number 0 is the largest, with shares that fall as
// 1/(1+n/2). While a flood lasts the given part of all requests is customer
// 0's.
func (g *generator) customer(part float64) int {
	if g.profile.flood > 0 && part > floodFrom && g.random.Float64() < g.profile.flood {
		return 0
	}
	total := 0.0
	for n := range customers {
		total += 1 / (1 + float64(n)/2)
	}
	at := g.random.Float64() * total
	for n := range customers {
		at -= 1 / (1 + float64(n)/2)
		if at < 0 {
			return n
		}
	}
	return customers - 1
}

const (
	// customers is the number of customers in each trace.
	customers = 10
	// floodFrom is the part of the trace after which the flood begins.
	floodFrom = 0.35
)

// lengths is a lognormal distribution with bounds.
type lengths struct {
	median, sigma float64
	least, most   float64
}

func (l lengths) draw(random *rand.Rand, stretch float64) currantwood.TokenCount {
	drawn := l.median * stretch * math.Exp(l.sigma*random.NormFloat64())
	return currantwood.TokenCount(min(max(drawn, l.least), l.most))
}
