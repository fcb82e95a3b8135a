package engine

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/standin/batcher"
)

// Output lengths are drawn from a lognormal distribution when a request states
// none.
const (
	medianOutputTokens = 120
	outputTokensSigma  = 0.8
	maxDrawnTokens     = 2000
)

// prefixPercent is the part of a prompt that its prefix covers, as the header
// X-Prefix gives only the prefix's id.
const prefixPercent = 75

// parseJob returns the job that a request's headers and body describe.
func parseJob(r *http.Request, body []byte) batcher.Job {
	prompt := headerNumber(r, "X-Prompt-Tokens")
	job := batcher.Job{
		Stream:       currantwood.EngineStreamID(r.Header.Get("X-Stream-Id")),
		Priority:     currantwood.Priority(headerNumber(r, "X-Priority")),
		PromptTokens: currantwood.TokenCount(prompt),
		PrefixTokens: currantwood.TokenCount(prompt * prefixPercent / 100),
		OutputTokens: currantwood.TokenCount(outputTokens(r, body)),
	}
	prefix, _ := strconv.ParseUint(r.Header.Get("X-Prefix"), 10, 64)
	job.Prefix = currantwood.PrefixID(prefix)
	if bound := headerNumber(r, "X-Max-Tokens"); bound > 0 {
		job.OutputTokens = min(job.OutputTokens, currantwood.TokenCount(bound))
	}
	return job
}

// outputTokens returns the output length that the header X-Standin-Tokens or the
// body states. Otherwise it draws one, always the same for the same body.
func outputTokens(r *http.Request, body []byte) int64 {
	if stated := headerNumber(r, "X-Standin-Tokens"); stated > 0 {
		return stated
	}
	var stated struct {
		Tokens int64 `json:"standin-tokens"`
	}
	if json.Unmarshal(body, &stated) == nil && stated.Tokens > 0 {
		return stated.Tokens
	}
	source := rand.New(rand.NewPCG(xxhash.Sum64(body), 0))
	drawn := int64(medianOutputTokens * math.Exp(outputTokensSigma*source.NormFloat64()))
	return min(max(drawn, 1), maxDrawnTokens)
}

// headerNumber parses a header as a non-negative integer. It returns 0 when the
// header is missing or malformed.
func headerNumber(r *http.Request, header string) int64 {
	n, err := strconv.ParseInt(r.Header.Get(header), 10, 64)
	if err != nil || n < 0 {
		return 0
	}
	return n
}

func streamID(r *http.Request) currantwood.EngineStreamID {
	return currantwood.EngineStreamID(r.PathValue("id"))
}

// hashID returns the hash of a stream's id that its tokens' text contains.
func hashID(id currantwood.EngineStreamID) uint32 {
	return uint32(xxhash.Sum64String(string(id)))
}

// dropEvents returns the events without the given share of them, 0 to 1. The
// sequence number decides, so that each call drops the same events.
func dropEvents(events []currantwood.CacheEvent, share float64) []currantwood.CacheEvent {
	const buckets = 1 << 16
	kept := make([]currantwood.CacheEvent, 0, len(events))
	for _, event := range events {
		bucket := xxhash.Sum64String(strconv.FormatUint(event.Seq, 10)) % buckets
		if float64(bucket) >= share*buckets {
			kept = append(kept, event)
		}
	}
	return kept
}
