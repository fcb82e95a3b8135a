// Package prefixtracker estimates at an entry which engine has which prompt prefix
// cached.
//
// Reports of the engines' caches arrive late and may be missing, so an estimate is
// a hint that decays with age. A report renews it, and so does a request with the
// prefix that is sent to the engine. The number of prefixes per upstream is limited;
// beyond the limit the least recently recorded is evicted.
package prefixtracker

import (
	"math"
	"sync"
	"time"

	"github.com/currantwood/currantwood"
)

// Options configures a Tracker.
type Options struct {
	// MaxPerUpstream is the maximum number of prefixes stored for an upstream; at least 1.
	MaxPerUpstream int
	// HalfLife is the age at which the expected number of cached tokens has halved.
	HalfLife time.Duration
}

// DefaultOptions returns the options used in production. A prefix that isn't recorded again
// counts for a quarter of its tokens after a minute.
func DefaultOptions() Options {
	return Options{MaxPerUpstream: 128, HalfLife: 30 * time.Second}
}

// cachedPrefix is a prefix that an upstream is expected to have cached.
type cachedPrefix struct {
	prefix currantwood.PrefixID
	// tokens is the number of tokens cached at recordedAt.
	tokens     currantwood.TokenCount
	recordedAt time.Time
}

// Tracker records which prefixes upstreams are expected to have cached. It is safe for
// concurrent use.
type Tracker struct {
	options Options

	mu sync.RWMutex // guards prefixes
	// prefixes holds at most MaxPerUpstream prefixes of each upstream, from the least to
	// the most recently recorded.
	prefixes map[currantwood.UpstreamID][]cachedPrefix
}

// New returns a tracker without prefixes.
func New(options Options) *Tracker {
	return &Tracker{options: options, prefixes: map[currantwood.UpstreamID][]cachedPrefix{}}
}

// RecordCached records that an upstream has reported a prefix as cached, or was sent a request with
// it. tokens is the number of cached tokens: the reported one, or that of the request's whole
// prompt, which may be longer than the prefix. A prefix of 0 means none and is ignored.
func (t *Tracker) RecordCached(now time.Time, upstream currantwood.UpstreamID, prefix currantwood.PrefixID, tokens currantwood.TokenCount) {
	if prefix == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	list := without(t.prefixes[upstream], prefix)
	if len(list) >= t.options.MaxPerUpstream {
		list = append(list[:0], list[1:]...)
	}
	t.prefixes[upstream] = append(list, cachedPrefix{prefix: prefix, tokens: tokens, recordedAt: now})
}

// RecordEvicted records that an upstream no longer has a prefix cached.
func (t *Tracker) RecordEvicted(upstream currantwood.UpstreamID, prefix currantwood.PrefixID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prefixes[upstream] = without(t.prefixes[upstream], prefix)
}

// RemoveUpstream removes all prefixes of an upstream that is gone.
func (t *Tracker) RemoveUpstream(upstream currantwood.UpstreamID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.prefixes, upstream)
}

// CachedTokens returns the expected number of tokens that an upstream has cached for prompts with a
// prefix. It may exceed the length of a prompt. It is 0 if the prefix is 0 or unknown.
func (t *Tracker) CachedTokens(now time.Time, upstream currantwood.UpstreamID, prefix currantwood.PrefixID) currantwood.TokenCount {
	if prefix == 0 {
		return 0
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, c := range t.prefixes[upstream] {
		if c.prefix == prefix {
			return c.expectedTokens(now, t.options.HalfLife)
		}
	}
	return 0
}

// expectedTokens returns the recorded tokens, halved for each half-life that has passed.
func (c cachedPrefix) expectedTokens(now time.Time, halfLife time.Duration) currantwood.TokenCount {
	age := max(now.Sub(c.recordedAt), 0)
	return currantwood.TokenCount(float64(c.tokens) * math.Exp2(-float64(age)/float64(halfLife)))
}

// without removes a prefix from the list, whose memory it reuses.
func without(list []cachedPrefix, prefix currantwood.PrefixID) []cachedPrefix {
	for i, c := range list {
		if c.prefix == prefix {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}
