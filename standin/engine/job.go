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

// The output lengths that are drawn when the body states none: lognormal.
const (
	medianTokens = 120
	lengthSigma  = 0.8
	longestDrawn = 2000
)

// prefixShare is the part of a prompt that its prefix covers, in percent.
const prefixShare = 75

// jobOf reads a stream's headers and body.
func jobOf(r *http.Request, body []byte) batcher.Job {
	prompt := number(r, "X-Prompt-Tokens")
	job := batcher.Job{
		Stream:       currantwood.EngineStreamID(r.Header.Get("X-Stream-Id")),
		Priority:     currantwood.Priority(number(r, "X-Priority")),
		PromptTokens: currantwood.TokenCount(prompt),
		PrefixTokens: currantwood.TokenCount(prompt * prefixShare / 100),
		OutputTokens: currantwood.TokenCount(outputTokens(r, body)),
	}
	prefix, _ := strconv.ParseUint(r.Header.Get("X-Prefix"), 10, 64)
	job.Prefix = currantwood.PrefixID(prefix)
	if bound := number(r, "X-Max-Tokens"); bound > 0 {
		job.OutputTokens = min(job.OutputTokens, currantwood.TokenCount(bound))
	}
	return job
}

func outputTokens(r *http.Request, body []byte) int64 {
	if stated := number(r, "X-Standin-Tokens"); stated > 0 {
		return stated
	}
	var stated struct {
		Tokens int64 `json:"standin-tokens"`
	}
	if json.Unmarshal(body, &stated) == nil && stated.Tokens > 0 {
		return stated.Tokens
	}
	source := rand.New(rand.NewPCG(xxhash.Sum64(body), 0))
	drawn := int64(medianTokens * math.Exp(lengthSigma*source.NormFloat64()))
	return min(max(drawn, 1), longestDrawn)
}

// number reads a header as a whole number that isn't negative; 0 when it is
// missing or wrong.
func number(r *http.Request, header string) int64 {
	n, err := strconv.ParseInt(r.Header.Get(header), 10, 64)
	if err != nil || n < 0 {
		return 0
	}
	return n
}

func streamID(r *http.Request) currantwood.EngineStreamID {
	return currantwood.EngineStreamID(r.PathValue("id"))
}

// markOf hashes a stream's id for its tokens' text.
func markOf(id currantwood.EngineStreamID) uint32 {
	return uint32(xxhash.Sum64String(string(id)))
}

// dropEvents leaves out the given share of events, the same ones each time.
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
