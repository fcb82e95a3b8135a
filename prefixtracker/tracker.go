// Package prefixtracker keeps an entry's belief of which engine holds which
// prompt prefix in its cache.
//
// Engines tell of their caches late and with gaps, so a belief is a hint that
// decays: it is strengthened by a report or by sending a request with the
// prefix, and counts for less as it grows older. Each upstream has a bounded
// number of beliefs; the oldest makes room.
package prefixtracker

import (
	"math"
	"sync"
	"time"

	"github.com/currantwood/currantwood"
)

// Options bound the beliefs.
type Options struct {
	// PerUpstream bounds the prefixes that are remembered for an upstream.
	PerUpstream int
	// HalfLife is the age at which a belief counts for half.
	HalfLife time.Duration
}

// DefaultOptions remember 128 prefixes an upstream for about a minute.
func DefaultOptions() Options {
	return Options{PerUpstream: 128, HalfLife: 30 * time.Second}
}

// belief is one prefix that is thought to be cached.
type belief struct {
	prefix currantwood.PrefixID
	tokens currantwood.TokenCount
	at     time.Time
}

// Tracker keeps beliefs. It is safe for concurrent use.
type Tracker struct {
	options Options

	mu sync.RWMutex
	// beliefs are ordered from the oldest to the newest, at most PerUpstream
	// for each upstream.
	beliefs map[currantwood.UpstreamID][]belief
}

// New returns a tracker that believes nothing.
func New(options Options) *Tracker {
	return &Tracker{options: options, beliefs: map[currantwood.UpstreamID][]belief{}}
}

// Hold notes that the upstream was reported or made to hold a prefix.
func (t *Tracker) Hold(now time.Time, upstream currantwood.UpstreamID, prefix currantwood.PrefixID, tokens currantwood.TokenCount) {
	if prefix == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	list := without(t.beliefs[upstream], prefix)
	if len(list) >= t.options.PerUpstream {
		list = append(list[:0], list[1:]...)
	}
	t.beliefs[upstream] = append(list, belief{prefix: prefix, tokens: tokens, at: now})
}

// Drop notes that the upstream was reported to have lost a prefix.
func (t *Tracker) Drop(upstream currantwood.UpstreamID, prefix currantwood.PrefixID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.beliefs[upstream] = without(t.beliefs[upstream], prefix)
}

// Forget drops all beliefs about an upstream that is gone.
func (t *Tracker) Forget(upstream currantwood.UpstreamID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.beliefs, upstream)
}

// Cached returns the tokens of a prefix that the upstream is expected to hold.
func (t *Tracker) Cached(now time.Time, upstream currantwood.UpstreamID, prefix currantwood.PrefixID) currantwood.TokenCount {
	if prefix == 0 {
		return 0
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, b := range t.beliefs[upstream] {
		if b.prefix == prefix {
			return b.expected(now, t.options.HalfLife)
		}
	}
	return 0
}

func (b belief) expected(now time.Time, halfLife time.Duration) currantwood.TokenCount {
	age := max(now.Sub(b.at), 0)
	return currantwood.TokenCount(float64(b.tokens) * math.Exp2(-float64(age)/float64(halfLife)))
}

func without(list []belief, prefix currantwood.PrefixID) []belief {
	for i, b := range list {
		if b.prefix == prefix {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}
