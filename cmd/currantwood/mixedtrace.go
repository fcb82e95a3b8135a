package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/currantwood/currantwood/player"
	"github.com/currantwood/currantwood/standin/sites"
)

const (
	// The lengths of summaries and plans are log-normal, in tokens.
	medianTokens = 90
	spreadTokens = 0.9
	maxTokens    = 3000
	// checkTokens is the length of a yes or no.
	checkTokens = 2
	// The parts of the mixed trace; the rest are lookups.
	shareStreams = 0.6
	shareChecks  = 0.1
	shareRecords = 0.2
	// shareRepeated is the part of payments and bookings that callers send
	// twice under one key.
	shareRepeated = 0.3
	// shareWhole is the part of generations that ask for a whole answer.
	shareWhole = 0.2
)

// mixedTrace draws the requests of one site's callers.
func mixedTrace(site sites.Site, f demoFlags, stream uint64) []player.Request {
	random := rand.New(rand.NewPCG(f.seed, stream))
	var requests []player.Request
	at := time.Duration(0)
	for number := 0; ; number++ {
		at += time.Duration(random.ExpFloat64() / f.rate * float64(time.Second))
		if at > f.length {
			return requests
		}
		requests = append(requests, drawRequests(random, site, f.seed, number, at)...)
	}
}

// drawRequests draws one request, or the two of a caller that repeats itself.
func drawRequests(random *rand.Rand, site sites.Site, seed uint64, number int, at time.Duration) []player.Request {
	key := site.Keys[random.IntN(len(site.Keys))]
	r := player.Request{
		At:       at,
		Entry:    random.IntN(len(site.Regions)),
		Customer: key.Customer,
		Key:      key.Key,
		Method:   http.MethodPost,
	}
	switch kind := random.Float64(); {
	case kind < shareStreams:
		tokens := medianTokens * math.Exp(spreadTokens*random.NormFloat64())
		generate(&r, string(site.Upstreams[0].Model), uint64(min(maxTokens, max(1, tokens))), random.Float64() >= shareWhole)
	case kind < shareStreams+shareChecks:
		generate(&r, checkModel(site), checkTokens, false)
	case kind < shareStreams+shareChecks+shareRecords:
		r.Path = recordPath(site)
		r.Body = fmt.Sprintf(`{"number":%d}`, number)
		r.Operation = fmt.Sprintf("%s-%d-%d", site.Name, seed, number)
		if random.Float64() < shareRepeated {
			again := r
			again.Entry++
			return []player.Request{r, again}
		}
	default:
		r.Method = http.MethodGet
		r.Path = lookupPath(site, number)
	}
	return []player.Request{r}
}

// generate makes r ask for a generation of a known length.
func generate(r *player.Request, model string, tokens uint64, stream bool) {
	r.Path = "/v1/completions"
	r.Tokens = tokens
	r.Stream = stream
	r.Body = fmt.Sprintf(`{"model":"%s","prompt":"file of %s","stream":%t,"standin-tokens":%d}`, model, r.Customer, stream, tokens)
}

// cooperativeName is the site that books slots; the other takes payments.
const cooperativeName = "cooperative"

func checkModel(site sites.Site) string {
	if site.Name == cooperativeName {
		return "manifest-check"
	}
	return string(site.Upstreams[0].Model)
}

func recordPath(site sites.Site) string {
	if site.Name == cooperativeName {
		return "/bookings"
	}
	return "/payments"
}

func lookupPath(site sites.Site, number int) string {
	if site.Name == cooperativeName {
		return fmt.Sprintf("/slots?after=%d", number)
	}
	return fmt.Sprintf("/payments/%d", number)
}
