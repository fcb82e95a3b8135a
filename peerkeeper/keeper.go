// Package peerkeeper holds what a gateway knows of the other gateways and
// decides which one acts as the collector.
//
// The collector reads the directory and adds up the loads for all gateways. Of
// the gateways whose latest own reads of the store succeeded, it is the one with
// the highest capacity, ties broken by the lowest ID. One whose process is so new
// that it doesn't know what was spent of the retry budgets comes after all others. There is no agreement
// protocol: each gateway decides by the messages that it has received, and two
// collectors at once do no harm.
package peerkeeper

import (
	"maps"
	"slices"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/balancer"
	"github.com/currantwood/currantwood/budgeter"
)

const (
	// minSendInterval is the shortest interval at which messages that are due
	// are sent; maxSendInterval is the longest.
	minSendInterval = 15 * time.Millisecond
	maxSendInterval = 250 * time.Millisecond
	// gatewaysAtMinInterval is the number of gateways up to which
	// minSendInterval applies. Each gateway beyond it adds intervalPerGateway.
	// This bounds the collector to 2000 regular digests per second for up to 500
	// gateways; with more, the rate grows, as maxSendInterval is reached at 226.
	gatewaysAtMinInterval = 30
	intervalPerGateway    = 1200 * time.Microsecond
	// unchangedStateInterval is the time between two states with the same
	// loads.
	unchangedStateInterval = 50 * time.Millisecond
	// discoveryInterval is the time between two states of a gateway that knows
	// no other as the collector. The collector itself sends them too.
	discoveryInterval = 200 * time.Millisecond
	// collectorTimeout is how long after its last digest a gateway still
	// counts as the collector. One lost digest doesn't exceed it, even at
	// maxSendInterval.
	collectorTimeout = 700 * time.Millisecond
	// peerTimeout is how long after its last message, or the last referral to
	// it, a gateway counts as heard from: it gets digests and its loads count.
	peerTimeout = 1500 * time.Millisecond
	// peerRetention is how long after its last message, or the last referral to
	// it, a gateway is still contacted to find the collector.
	peerRetention = 30 * time.Second
	// maxDiscoveryPeers bounds the gateways that one state is sent to while no
	// other gateway is known as the collector.
	maxDiscoveryPeers = 6
	// maxFormerProcesses bounds the former processes of a VM whose retries count. The
	// platform starts a process again no sooner than some seconds after it ended.
	maxFormerProcesses = 8
	// newProcessTime is how long after its first state a process counts as just started.
	newProcessTime = 2 * time.Second
	// recordRetention is how long records of the directory are kept for peers. One that
	// lags behind by more reads the directory itself: with maxDigestRecords in each digest
	// it would catch up too slowly.
	recordRetention = 3 * time.Second
	// maxDigestRecords bounds the records in one digest. A record takes about
	// 200 bytes.
	maxDigestRecords = 24
	// maxDigestRecordBytes bounds their values together. A datagram has at most 64 KB. A
	// longer record isn't kept for peers.
	maxDigestRecordBytes = 16 << 10
)

// peerEntry is a known gateway and the state received last from it.
type peerEntry struct {
	Peer
	// processSince is when the first state of its process arrived.
	processSince time.Time
	// lastSeen is when its last message or the last referral to it arrived.
	lastSeen time.Time
	// crashesSentAt is when crashes that it may lack were sent to it last, and
	// lastCrashSent the last suspect among them.
	crashesSentAt time.Time
	lastCrashSent currantwood.Suspect
	// startsReceived is the position up to which its starts of streams have arrived here,
	// startsAcknowledged that up to which it has those of this VM, one for each log.
	// takesStarts is whether it takes any.
	startsReceived, startsAcknowledged [startLogs]StartPosition
	takesStarts                        bool
	// former holds the retry usage of former processes of its VM.
	former []formerUsage
	// state is zero if none was received.
	state State
}

// Keeper holds what is known of the other gateways. It is not safe for
// concurrent use.
type Keeper struct {
	self  Peer
	peers map[currantwood.VMID]*peerEntry
	// interimCollector is the sender of the last accepted interim digest, received at
	// interimDigestAt.
	interimCollector Peer
	interimDigestAt  time.Time
	// collector is the sender of the last accepted digest, received at
	// digestAt.
	collector Peer
	digestAt  time.Time
	// inherited is the retry usage of gateways that the last collector before this
	// one knew and this one doesn't, as of inheritedAt.
	inherited   budgeter.GroupUsage
	inheritedAt time.Time
	// inheritedSettled is whether what gateways report was subtracted from it.
	inheritedSettled bool
	// digestUsage is the retry usage of all other gateways in the last accepted
	// digest.
	digestUsage budgeter.GroupUsage
	// digestGateways is the number of gateways that the last accepted digest
	// reported, or that this gateway counted as the collector.
	digestGateways int
	// rank is the position of this gateway among the next collectors, from 1 on, in the
	// last accepted digest; 0 if unknown.
	rank int
	// sentLoads are the loads in the state that was sent last, at stateSentAt.
	sentLoads   balancer.Loads
	stateSentAt time.Time
	// records are the directory's records from firstOffset up to nextOffset
	// that say something new.
	firstOffset currantwood.Offset
	nextOffset  currantwood.Offset
	// recordsEra is the era of the store to which these offsets belong.
	recordsEra currantwood.StoreEra
	records    []retainedRecord
}

// New returns a Keeper for the gateway self, without peers.
func New(self Peer) *Keeper {
	return &Keeper{self: self, peers: make(map[currantwood.VMID]*peerEntry)}
}

// NotePeer notes that a gateway exists, by its own message or by a referral.
func (k *Keeper) NotePeer(now time.Time, peer Peer) {
	if peer.VM == k.self.VM {
		return
	}
	entry := k.peers[peer.VM]
	if entry == nil {
		entry = &peerEntry{}
		k.peers[peer.VM] = entry
	}
	entry.Peer = peer
	entry.lastSeen = now
}

// ApplyState stores the state of another gateway, unless a later one of the same
// process has arrived before it.
func (k *Keeper) ApplyState(now time.Time, from Peer, s State) {
	lastSeen := time.Time{}
	if entry := k.peers[from.VM]; entry != nil {
		lastSeen = entry.lastSeen
	}
	k.NotePeer(now, from)
	entry := k.peers[from.VM]
	if entry == nil || s.Process != 0 && s.Process == entry.state.Process && s.SentAt < entry.state.SentAt {
		return
	}
	if entry.state.Process != s.Process && len(entry.state.RetryUsage) > 0 {
		entry.former = append(entry.former, formerUsage{entry.state.RetryUsage, lastSeen})
		entry.former = entry.former[max(0, len(entry.former)-maxFormerProcesses):]
	}
	if entry.state.Process != s.Process || entry.processSince.IsZero() {
		entry.processSince = now
	}
	entry.state = s
}

// HasJustStarted reports whether a gateway's process was heard from first a moment ago.
func (k *Keeper) HasJustStarted(now time.Time, id currantwood.VMID) bool {
	entry := k.peers[id]
	return entry != nil && now.Sub(entry.processSince) <= newProcessTime
}

// StateRecipients returns the gateways to send this gateway's state to: the
// other gateway that is the collector or, if none is known, also because this
// one is the collector, gateways that may answer with a referral to another. In
// the second case it also forgets gateways not heard from for longer than
// peerRetention.
func (k *Keeper) StateRecipients(now time.Time) []Peer {
	if collector, ok := k.OtherCollector(now); ok {
		return []Peer{collector}
	}
	for id, entry := range k.peers {
		if now.Sub(entry.lastSeen) > peerRetention {
			delete(k.peers, id)
		}
	}
	return k.Known(maxDiscoveryPeers)
}

// Known returns up to limit gateways that were heard of, in the order of their rank.
func (k *Keeper) Known(limit int) []Peer {
	var known []Peer
	for _, entry := range k.peers {
		known = append(known, entry.Peer)
	}
	slices.SortFunc(known, compareRank)
	return known[:min(len(known), limit)]
}

// MarkStateSentIfDue reports whether the state of this gateway has to be sent now, and
// if so marks it as sent. If another gateway is known as the collector, changed
// loads are due at once; if none is, also because this
// one is the collector, the state is due only every discoveryInterval.
func (k *Keeper) MarkStateSentIfDue(now time.Time, loads balancer.Loads) bool {
	wait := discoveryInterval
	changed := false
	if _, known := k.OtherCollector(now); known {
		wait = unchangedStateInterval
		changed = !maps.Equal(loads, k.sentLoads)
	}
	if !changed && now.Sub(k.stateSentAt) < wait {
		return false
	}
	k.sentLoads, k.stateSentAt = loads, now
	return true
}

// DigestRecipients returns the gateways to send a digest to: of those heard from
// within peerTimeout, the ones that this gateway precedes and the ones that
// haven't reported, in the state received last, that they reach the store.
func (k *Keeper) DigestRecipients(now time.Time) []Peer {
	var recipients []Peer
	for _, entry := range k.peers {
		if now.Sub(entry.lastSeen) <= peerTimeout && (k.self.precedes(entry.Peer) || !entry.state.StoreReachable) {
			recipients = append(recipients, entry.Peer)
		}
	}
	slices.SortFunc(recipients, compareRank)
	return recipients
}

// SendInterval returns the time until the next messages are due.
func (k *Keeper) SendInterval(now time.Time) time.Duration {
	recipients := len(k.DigestRecipients(now))
	if _, known := k.OtherCollector(now); !known && recipients == 0 {
		return discoveryInterval
	}
	excess := max(0, max(recipients, k.digestGateways)-gatewaysAtMinInterval)
	return min(maxSendInterval, minSendInterval+time.Duration(excess)*intervalPerGateway)
}

// SetDigestGateways sets the number of gateways that an accepted digest reported, or that
// this gateway counts as the collector.
func (k *Keeper) SetDigestGateways(count int) { k.digestGateways = count }

// DigestGateways returns what SetDigestGateways has set.
func (k *Keeper) DigestGateways() int { return k.digestGateways }

// CountGateways returns the number of gateways heard from within peerTimeout,
// including this one.
func (k *Keeper) CountGateways(now time.Time) int {
	count := 1
	for _, entry := range k.peers {
		if now.Sub(entry.lastSeen) <= peerTimeout {
			count++
		}
	}
	return count
}

// SetRank sets the position of this gateway among the next collectors, from 1 on; 0 if it
// is unknown.
func (k *Keeper) SetRank(rank int) { k.rank = rank }

// Rank returns what SetRank has set.
func (k *Keeper) Rank() int { return k.rank }

// FleetSize returns the number of gateways, this one included, as it was known last. It
// stays while no collector counts them.
func (k *Keeper) FleetSize(now time.Time) int { return max(k.digestGateways, k.CountGateways(now)) }

// LastState returns the state received last from a gateway; zero if none was.
func (k *Keeper) LastState(id currantwood.VMID) State {
	if entry := k.peers[id]; entry != nil {
		return entry.state
	}
	return State{}
}
