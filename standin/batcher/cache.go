package batcher

import "github.com/currantwood/currantwood"

// maxCacheEvents is the number of newest events kept for clients that poll
// late.
const maxCacheEvents = 512

// cachedPrefix is a cache entry.
type cachedPrefix struct {
	prefix currantwood.PrefixID
	tokens currantwood.TokenCount
}

// cache is an LRU cache of prefixes, bounded by their total size in tokens.
type cache struct {
	limit currantwood.TokenCount
	// held is the sum of the entries' tokens; at most limit.
	held currantwood.TokenCount
	// entries are ordered from the least to the most recently used.
	entries []cachedPrefix
	events  []currantwood.CacheEvent
	// seq is the sequence number of the newest event; the first is 1.
	seq uint64
}

// touch returns how many of the prefix's tokens are cached, then caches the
// whole prefix as the most recently used one, evicting others as needed. A
// prefix larger than the cache is not cached.
func (c *cache) touch(prefix currantwood.PrefixID, tokens currantwood.TokenCount) currantwood.TokenCount {
	if prefix == 0 || tokens <= 0 || tokens > c.limit {
		return 0
	}
	hit := c.remove(prefix)
	size := max(hit, tokens)
	for c.held+size > c.limit {
		c.evictLeastRecentlyUsed()
	}
	c.entries = append(c.entries, cachedPrefix{prefix: prefix, tokens: size})
	c.held += size
	if hit < size {
		c.recordEvent(currantwood.CacheEvent{Prefix: prefix, Tokens: size})
	}
	return min(hit, tokens)
}

// remove removes a prefix and returns its size in tokens; 0 when it is not
// cached.
func (c *cache) remove(prefix currantwood.PrefixID) currantwood.TokenCount {
	for i, entry := range c.entries {
		if entry.prefix == prefix {
			c.entries = append(c.entries[:i], c.entries[i+1:]...)
			c.held -= entry.tokens
			return entry.tokens
		}
	}
	return 0
}

func (c *cache) evictLeastRecentlyUsed() {
	evicted := c.entries[0]
	c.entries = append(c.entries[:0], c.entries[1:]...)
	c.held -= evicted.tokens
	c.recordEvent(currantwood.CacheEvent{Prefix: evicted.prefix, Tokens: evicted.tokens, Evicted: true})
}

func (c *cache) recordEvent(event currantwood.CacheEvent) {
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
