// Package contactkeeper keeps the addresses at which a gateway looks for others: those that its
// settings name, which may change, and those that were found elsewhere.
package contactkeeper

import (
	"maps"
	"slices"
	"time"
)

const (
	// retention is how long an address that was found is tried, unless it is found again.
	retention = 30 * time.Second
	// maxFound bounds the addresses that were found; the oldest go first.
	maxFound = 6
)

// Keeper keeps addresses, host:port. It is not safe for concurrent use.
type Keeper struct {
	seeds []string
	// found holds when each address was found last; at most maxFound.
	found map[string]time.Time
}

// New returns a keeper of the addresses that the settings name.
func New(seeds []string) *Keeper {
	return &Keeper{seeds: slices.Clone(seeds), found: make(map[string]time.Time)}
}

// SetSeeds replaces the addresses that the settings name, and reports whether that changes any.
func (k *Keeper) SetSeeds(seeds []string) (changed bool) {
	changed = !slices.Equal(k.seeds, seeds)
	k.seeds = slices.Clone(seeds)
	return changed
}

// Found notes that an address was found, and reports whether it wasn't known.
func (k *Keeper) Found(now time.Time, address string) (added bool) {
	k.forget(now)
	_, known := k.found[address]
	k.found[address] = now
	if len(k.found) > maxFound {
		delete(k.found, k.oldest())
	}
	return !known
}

// All returns the addresses to try, each once, in the order of their text.
func (k *Keeper) All(now time.Time) []string {
	k.forget(now)
	all := slices.AppendSeq(slices.Clone(k.seeds), maps.Keys(k.found))
	slices.Sort(all)
	return slices.Compact(all)
}

// forget drops addresses that weren't found again.
func (k *Keeper) forget(now time.Time) {
	maps.DeleteFunc(k.found, func(_ string, at time.Time) bool { return now.Sub(at) > retention })
}

// oldest returns the address that was found first of all. There must be one.
func (k *Keeper) oldest() string {
	return slices.MinFunc(slices.Collect(maps.Keys(k.found)), func(a, b string) int { return k.found[a].Compare(k.found[b]) })
}
