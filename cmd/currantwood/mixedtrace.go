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
	// The output lengths of generations, checks aside, follow a log-normal
	// distribution, in tokens; sigma is the standard deviation of the logarithm.
	medianOutputTokens = 90
	outputTokensSigma  = 0.9
	maxOutputTokens    = 3000
	// checkOutputTokens is the output length of a check: a generation of class
	// check, whose output is yes or no.
	checkOutputTokens = 2
	// The shares of requests in the mixed trace; the rest are lookups. Operations
	// are payments and bookings.
	generationShare = 0.6
	checkShare      = 0.1
	operationShare  = 0.2
	// duplicateShare is the share of operations that clients send twice with the
	// same operation key.
	duplicateShare = 0.3
	// bufferedShare is the share of generations, checks aside, that aren't
	// streamed.
	bufferedShare = 0.2
)

// mixedTrace generates the requests of one site's clients, at exponentially
// distributed intervals. rngStream selects the random sequence for a seed.
func mixedTrace(site sites.Site, f demoFlags, rngStream uint64) []player.Request {
	random := rand.New(rand.NewPCG(f.seed, rngStream))
	var requests []player.Request
	at := time.Duration(0)
	for index := 0; ; index++ {
		at += time.Duration(random.ExpFloat64() / f.rate * float64(time.Second))
		if at > f.duration {
			return requests
		}
		requests = append(requests, generateRequests(random, site, f.seed, index, at)...)
	}
}

// generateRequests generates one request, or two identical ones, the second to the
// next entry, if the client sends an operation twice.
func generateRequests(random *rand.Rand, site sites.Site, seed uint64, index int, at time.Duration) []player.Request {
	key := site.Keys[random.IntN(len(site.Keys))]
	r := player.Request{
		At:       at,
		Entry:    random.IntN(len(site.Regions)),
		Customer: key.Customer,
		APIKey:   key.Key,
		Method:   http.MethodPost,
	}
	switch kind := random.Float64(); {
	case kind < generationShare:
		tokens := medianOutputTokens * math.Exp(outputTokensSigma*random.NormFloat64())
		setGeneration(&r, string(site.Upstreams[0].Model), uint64(min(maxOutputTokens, max(1, tokens))), random.Float64() >= bufferedShare)
	case kind < generationShare+checkShare:
		setGeneration(&r, checkRequestModel(site), checkOutputTokens, false)
	case kind < generationShare+checkShare+operationShare:
		r.Path = operationPath(site)
		r.Body = fmt.Sprintf(`{"number":%d}`, index)
		r.OperationKey = fmt.Sprintf("%s-%d-%d", site.Name, seed, index)
		if random.Float64() < duplicateShare {
			duplicate := r
			duplicate.Entry++ // The player takes it modulo the number of entries.
			return []player.Request{r, duplicate}
		}
	default:
		r.Method = http.MethodGet
		r.Path = lookupPath(site, index)
	}
	return []player.Request{r}
}

// setGeneration makes r a request for a generation of the given output length.
func setGeneration(r *player.Request, model string, tokens uint64, stream bool) {
	r.Path = "/v1/completions"
	r.Tokens = tokens
	r.Stream = stream
	r.Body = fmt.Sprintf(`{"model":"%s","prompt":"file of %s","stream":%t,"standin-tokens":%d}`, model, r.Customer, stream, tokens)
}

// cooperativeName is the name of the site that takes bookings; the other site
// takes payments.
const cooperativeName = "cooperative"

// checkRequestModel returns the model of a check.
func checkRequestModel(site sites.Site) string {
	if site.Name == cooperativeName {
		return "manifest-check"
	}
	return string(site.Upstreams[0].Model)
}

func operationPath(site sites.Site) string {
	if site.Name == cooperativeName {
		return "/bookings"
	}
	return "/payments"
}

func lookupPath(site sites.Site, index int) string {
	if site.Name == cooperativeName {
		return fmt.Sprintf("/slots?after=%d", index)
	}
	return fmt.Sprintf("/payments/%d", index)
}
