package peerkeeper

import (
	"cmp"
	"time"
)

// AcceptDigest makes the sender of a digest the collector and reports whether
// it did. It rejects a sender that this gateway precedes while storeReachable
// is true, and one that the current collector precedes.
func (k *Keeper) AcceptDigest(now time.Time, from Peer, storeReachable bool) bool {
	k.NotePeer(now, from)
	if storeReachable && k.self.precedes(from) {
		return false
	}
	current, ok := k.OtherCollector(now)
	if ok && current.VM != from.VM && current.precedes(from) {
		return false
	}
	k.collector, k.digestAt = from, now
	return true
}

// OtherCollector returns the other gateway that is the collector. It returns
// false if none is known; then this gateway is the collector if it reaches the
// store.
func (k *Keeper) OtherCollector(now time.Time) (Peer, bool) {
	if k.digestAt.IsZero() || now.Sub(k.digestAt) > collectorTimeout {
		return Peer{}, false
	}
	return k.collector, true
}

// IsCollector reports whether this gateway is the collector.
func (k *Keeper) IsCollector(now time.Time, storeReachable bool) bool {
	_, other := k.OtherCollector(now)
	return storeReachable && !other
}

// compareRank orders gateways by their precedence as the collector.
func compareRank(a, b Peer) int {
	if a.Established != b.Established {
		if a.Established {
			return -1
		}
		return 1
	}
	if a.Capacity != b.Capacity {
		return cmp.Compare(b.Capacity, a.Capacity)
	}
	return cmp.Compare(a.VM, b.VM)
}

// Ranks returns the rank of each recipient of digests as the next collector, from 1 on,
// and those that could be it, in that order. Recipients must be in the order of their
// precedence. One that hasn't reported that it reaches the store comes after all others.
func (k *Keeper) Ranks(recipients []Peer) (ranks []int, successors []Peer) {
	for _, peer := range recipients {
		if k.LastState(peer.VM).StoreReachable {
			successors = append(successors, peer)
		}
	}
	next := 0
	for _, peer := range recipients {
		rank := len(successors) + 1
		if k.LastState(peer.VM).StoreReachable {
			next++
			rank = next
		}
		ranks = append(ranks, rank)
	}
	return ranks, successors
}
