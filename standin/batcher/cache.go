package batcher

import "github.com/currantwood/currantwood"

// maxCacheEvents bounds the events that are kept for late readers.
const maxCacheEvents = 512

// cached is one prefix in the cache.
type cached struct {
	prefix currantwood.PrefixID
	tokens currantwood.TokenCount
}

// cache keeps the most recently used prefixes within a limit of tokens.
type cache struct {
	limit currantwood.TokenCount
	// held is the sum of the entries' tokens; at most limit.
	held currantwood.TokenCount
	// entries are ordered from the least to the most recently used.
	entries []cached
	events  []currantwood.CacheEvent
	seq     uint64
}

// use returns the tokens of the prefix that are cached and makes the whole
// prefix the most recently used one.
func (c *cache) use(prefix currantwood.PrefixID, tokens currantwood.TokenCount) currantwood.TokenCount {
	if prefix == 0 || tokens <= 0 || tokens > c.limit {
		return 0
	}
	hit := c.take(prefix)
	size := max(hit, tokens)
	for c.held+size > c.limit {
		c.dropOldest()
	}
	c.entries = append(c.entries, cached{prefix: prefix, tokens: size})
	c.held += size
	if hit < size {
		c.record(currantwood.CacheEvent{Prefix: prefix, Tokens: size})
	}
	return min(hit, tokens)
}

// take removes a prefix and returns its size; 0 when it is not there.
func (c *cache) take(prefix currantwood.PrefixID) currantwood.TokenCount {
	for i, entry := range c.entries {
		if entry.prefix == prefix {
			c.entries = append(c.entries[:i], c.entries[i+1:]...)
			c.held -= entry.tokens
			return entry.tokens
		}
	}
	return 0
}

func (c *cache) dropOldest() {
	oldest := c.entries[0]
	c.entries = append(c.entries[:0], c.entries[1:]...)
	c.held -= oldest.tokens
	c.record(currantwood.CacheEvent{Prefix: oldest.prefix, Tokens: oldest.tokens, Evicted: true})
}

func (c *cache) record(event currantwood.CacheEvent) {
	c.seq++
	event.Seq = c.seq
	if len(c.events) == maxCacheEvents {
		c.events = append(c.events[:0], c.events[1:]...)
	}
	c.events = append(c.events, event)
}

func (c *cache) eventsAfter(after uint64) []currantwood.CacheEvent {
	for i, event := range c.events {
		if event.Seq > after {
			return append([]currantwood.CacheEvent(nil), c.events[i:]...)
		}
	}
	return nil
}
