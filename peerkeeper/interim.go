package peerkeeper

import "time"

// IsInterimCollector reports whether this gateway adds up what the gateways report while
// none is known that reaches the store: of those heard from, the one that precedes all
// others does. It only keeps the sums current, on which retries and the choice of
// upstreams depend, and reads nothing for others.
func (k *Keeper) IsInterimCollector(now time.Time, storeReachable bool) bool {
	if _, other := k.OtherCollector(now); storeReachable || other {
		return false
	}
	for _, entry := range k.peers {
		if now.Sub(entry.lastSeen) <= peerTimeout && entry.precedes(k.self) {
			return false
		}
	}
	return true
}

// AcceptInterimDigest makes the sender of an interim digest the interim collector and
// reports whether it did. It rejects one while a collector is known, or if this gateway or
// the present interim collector precedes the sender.
func (k *Keeper) AcceptInterimDigest(now time.Time, from Peer, storeReachable bool) bool {
	k.NotePeer(now, from)
	if _, other := k.OtherCollector(now); other || storeReachable || k.self.precedes(from) {
		return false
	}
	current := now.Sub(k.interimDigestAt) <= collectorTimeout
	if current && k.interimCollector.VM != from.VM && k.interimCollector.precedes(from) {
		return false
	}
	k.interimCollector, k.interimDigestAt = from, now
	return true
}
