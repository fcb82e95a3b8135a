// Package peerkeeper decides which gateway collects what the others see, and
// holds what each has told.
//
// One gateway reads the directory for all and sums up their loads. It is the
// strongest one, and of these the one with the lowest id, among those that reach
// the store, as far as they hear of each other: nothing is agreed on, and two
// that collect at once do no harm.
package peerkeeper

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/balancer"
	"github.com/currantwood/currantwood/budgeter"
)

const (
	// interval is the time between two messages to the same gateway, where few
	// gateways are heard; longestInterval bounds it where many are.
	interval        = 15 * time.Millisecond
	longestInterval = 250 * time.Millisecond
	// fewGateways is the number of gateways up to which the interval stays the
	// shortest; each beyond adds gatewayTime, so that what the one that collects
	// sends stays bounded.
	fewGateways = 30
	gatewayTime = 1200 * time.Microsecond
	// restInterval is the time between two states that say the same.
	restInterval = 50 * time.Millisecond
	// askingInterval is the time between two questions who collects.
	askingInterval = 200 * time.Millisecond
	// digestBelief is how long after its last digest another gateway still
	// counts as the one that collects.
	digestBelief = 700 * time.Millisecond
	// memberBelief is how long after its last message a gateway is still told.
	memberBelief = 1500 * time.Millisecond
	// knownBelief is how long a gateway is remembered as somebody to ask.
	knownBelief = 30 * time.Second
	// maxAsked bounds the gateways that are asked at once who collects.
	maxAsked = 6
	// recordsKept is how long records of the directory are kept for peers.
	recordsKept = 3 * time.Second
	// maxRecords bounds the records in one digest; each is about 200 bytes.
	maxRecords = 24
)

// State is what a gateway tells of itself.
type State struct {
	// SentAt is the sender's clock. It has a meaning only to the sender.
	SentAt int64
	Store  bool
	// Next is the offset up to which the sender knows the directory.
	Next  currantwood.Offset
	Loads balancer.Loads
	Uses  budgeter.Uses
}

// Peer is a gateway and where to reach it.
type Peer struct {
	VM      currantwood.VMID
	Address string
	// Strength is what its VM can bear. The strongest collects.
	Strength uint32
}

// before reports whether p goes before o as the one that collects.
func (p Peer) before(o Peer) bool {
	return inOrder(p, o) < 0
}

type member struct {
	Peer
	seen  time.Time
	state State
}

type keptRecord struct {
	at     time.Time
	record currantwood.KeyedRecord
}

// Keeper holds what is known of the other gateways. It is not safe for
// concurrent use.
type Keeper struct {
	self    Peer
	members map[currantwood.VMID]*member
	// collector is who sent the last digest, at digestAt.
	collector Peer
	digestAt  time.Time
	// gateways is the number of gateways by the last digest.
	gateways int
	// stated is what this gateway told last of its loads, at statedAt.
	stated   balancer.Loads
	statedAt time.Time
	// records are those of the directory from base on that changed something.
	base    currantwood.Offset
	next    currantwood.Offset
	records []keptRecord
}

// New returns the keeper of a gateway.
func New(self Peer) *Keeper {
	return &Keeper{self: self, members: make(map[currantwood.VMID]*member)}
}

// Heard notes a message of another gateway.
func (k *Keeper) Heard(now time.Time, from Peer) {
	if from.VM == k.self.VM {
		return
	}
	m := k.members[from.VM]
	if m == nil {
		m = &member{}
		k.members[from.VM] = m
	}
	m.Peer = from
	m.seen = now
}

// TakeState notes the state of another gateway.
func (k *Keeper) TakeState(now time.Time, from Peer, s State) {
	k.Heard(now, from)
	if m := k.members[from.VM]; m != nil {
		m.state = s
	}
}

// TakeDigest notes a digest. It reports whether its sender counts as the one
// that collects: not if this gateway should, being before it.
func (k *Keeper) TakeDigest(now time.Time, from Peer, store bool) bool {
	k.Heard(now, from)
	if store && k.self.before(from) {
		return false
	}
	current, ok := k.Collector(now)
	if ok && current.VM != from.VM && current.before(from) {
		return false
	}
	k.collector, k.digestAt = from, now
	return true
}

// Collector returns the gateway that collects; false if none is known, and
// this one does if it reaches the store.
func (k *Keeper) Collector(now time.Time) (Peer, bool) {
	if k.digestAt.IsZero() || now.Sub(k.digestAt) > digestBelief {
		return Peer{}, false
	}
	return k.collector, true
}

// Collects reports whether this gateway collects.
func (k *Keeper) Collects(now time.Time, store bool) bool {
	_, other := k.Collector(now)
	return store && !other
}

// Ask returns whom to tell the state of this gateway: the one that collects,
// or else some that may know who does.
func (k *Keeper) Ask(now time.Time) []Peer {
	if collector, ok := k.Collector(now); ok {
		return []Peer{collector}
	}
	var known []Peer
	for id, m := range k.members {
		if now.Sub(m.seen) > knownBelief {
			delete(k.members, id)
			continue
		}
		known = append(known, m.Peer)
	}
	slices.SortFunc(known, inOrder)
	return known[:min(len(known), maxAsked)]
}

// StateDue reports whether the state of this gateway is to be told now, and notes
// that it is. The one that collects is told at once what changed; without one,
// it is only asked who collects.
func (k *Keeper) StateDue(now time.Time, loads balancer.Loads) bool {
	wait := askingInterval
	changed := false
	if _, known := k.Collector(now); known {
		wait = restInterval
		changed = !maps.Equal(loads, k.stated)
	}
	if !changed && now.Sub(k.statedAt) < wait {
		return false
	}
	k.stated, k.statedAt = loads, now
	return true
}

// Told returns the gateways to send a digest to.
func (k *Keeper) Told(now time.Time) []Peer {
	var told []Peer
	for _, m := range k.members {
		if now.Sub(m.seen) <= memberBelief && (k.self.before(m.Peer) || !m.state.Store) {
			told = append(told, m.Peer)
		}
	}
	slices.SortFunc(told, inOrder)
	return told
}

// inOrder sorts those that rather collect first.
func inOrder(a, b Peer) int {
	if a.Strength != b.Strength {
		return cmp.Compare(b.Strength, a.Strength)
	}
	return cmp.Compare(a.VM, b.VM)
}

// Pause is the time until messages are due again.
func (k *Keeper) Pause(now time.Time) time.Duration {
	told := len(k.Told(now))
	if _, known := k.Collector(now); !known && told == 0 {
		return askingInterval
	}
	beyond := max(0, max(told, k.gateways)-fewGateways)
	return min(longestInterval, interval+time.Duration(beyond)*gatewayTime)
}

// TakeGateways notes how many gateways the one that collects hears.
func (k *Keeper) TakeGateways(count int) { k.gateways = count }

// Gateways counts the gateways that were heard lately, this one included.
func (k *Keeper) Gateways(now time.Time) int {
	count := 1
	for _, m := range k.members {
		if now.Sub(m.seen) <= memberBelief {
			count++
		}
	}
	return count
}

// Echo is the clock of a gateway in its newest state; 0 if there is none.
func (k *Keeper) Echo(id currantwood.VMID) int64 {
	if m := k.members[id]; m != nil {
		return m.state.SentAt
	}
	return 0
}

// Loads sums up what all gateways have in flight, this one's own included.
func (k *Keeper) Loads(now time.Time, own balancer.Loads) balancer.Loads {
	sum := maps.Clone(own)
	if sum == nil {
		sum = make(balancer.Loads)
	}
	for _, m := range k.members {
		if now.Sub(m.seen) > memberBelief {
			continue
		}
		for id, load := range m.state.Loads {
			total := sum[id]
			total.Add(load)
			sum[id] = total
		}
	}
	return sum
}

// Others is what a sum holds beside what one gateway, counted in it, has told.
func (k *Keeper) Others(sum balancer.Loads, id currantwood.VMID) balancer.Loads {
	m := k.members[id]
	if m == nil {
		return sum
	}
	others := make(balancer.Loads, len(sum))
	for upstream, total := range sum {
		total.Take(m.state.Loads[upstream])
		if total != (balancer.Load{}) {
			others[upstream] = total
		}
	}
	return others
}

// Uses sums up what gateways other than one have sent, beside own. A gateway
// that is no longer heard counts on until what it told has left the window.
func (k *Keeper) Uses(now time.Time, window time.Duration, except currantwood.VMID, own budgeter.Uses) budgeter.Uses {
	sum := make(budgeter.Uses, len(own))
	add := func(uses budgeter.Uses, requests bool) {
		for id, use := range uses {
			total := sum[id]
			total.Repeats += use.Repeats
			if requests {
				total.Requests += use.Requests
			}
			sum[id] = total
		}
	}
	add(own, true)
	for id, m := range k.members {
		if id != except && now.Sub(m.seen) <= window {
			add(m.state.Uses, now.Sub(m.seen) <= memberBelief)
		}
	}
	return sum
}

// KeepRecords keeps the records of a read of the directory for others. Only
// those that changed something are given; from and next bound the read.
func (k *Keeper) KeepRecords(now time.Time, from, next currantwood.Offset, changed []currantwood.KeyedRecord) {
	if from != k.next || k.next == 0 {
		k.base, k.records = from, nil
	}
	k.next = next
	for _, r := range changed {
		k.records = append(k.records, keptRecord{at: now, record: r})
	}
	drop := 0
	for drop < len(k.records) && now.Sub(k.records[drop].at) > recordsKept {
		k.base = k.records[drop].record.Offset + 1
		drop++
	}
	k.records = k.records[drop:]
}

// Records returns what a gateway that knows the directory up to an offset
// lacks, and up to where that brings it. It reports false if too little is
// kept: that gateway has to read for itself.
func (k *Keeper) Records(known currantwood.Offset) (records []currantwood.KeyedRecord, next currantwood.Offset, ok bool) {
	if k.next == 0 || known == 0 || known < k.base || known > k.next {
		return nil, 0, false
	}
	for _, kept := range k.records {
		if kept.record.Offset < known {
			continue
		}
		if len(records) == maxRecords {
			return records, kept.record.Offset, true
		}
		records = append(records, kept.record)
	}
	return records, k.next, true
}

// Known is the offset up to which a gateway said it knows the directory.
func (k *Keeper) Known(id currantwood.VMID) currantwood.Offset {
	if m := k.members[id]; m != nil {
		return m.state.Next
	}
	return 0
}
