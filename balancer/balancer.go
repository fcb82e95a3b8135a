// Package balancer decides to which upstream of a group a request goes.
//
// It goes by what this process and its peers have in flight at each upstream,
// not by what upstreams report: reports are old when they arrive, and all
// processes that read the same ones would choose alike.
package balancer

import (
	"math/rand"
	"slices"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/prober"
	"github.com/currantwood/currantwood/upstreamkeeper"
)

const (
	// minSample and maxSample bound the upstreams that one choice looks at.
	minSample = 5
	maxSample = 48
	// regionPenalty is the load that an upstream of this region may have above
	// one of another region and still be preferred.
	regionPenalty = 0.12
	// zonePenalty is the same for availability zones of this region.
	zonePenalty = 0.03
	// warmUpPenalty is added for an upstream that is still slow from its start.
	warmUpPenalty = 0.25
	// readAhead is the number of prompt tokens waiting to be read that counts
	// like a full upstream: at 14 a millisecond, a second.
	readAhead = 14_000
	// quietWeight is how much more unread prompts weigh for a run that is moved.
	quietWeight = 4
	// firstPace is the time that an engine takes to read a prompt token, those
	// that it reads before counted, as long as none was seen.
	firstPace = 150 * time.Microsecond
	// paceMemory is the number of prompts that the pace is averaged over.
	paceMemory = 32
	// peerBelief is how long a peer's word on what it has in flight is used.
	peerBelief = 2 * time.Second
	// firstOut and longestOut are how long an upstream that fails is left out.
	firstOut   = 1500 * time.Millisecond
	longestOut = 6 * time.Second
)

// Load is what is in flight at an upstream.
type Load struct {
	Requests int
	// Tokens is the memory that the requests need in the end.
	Tokens currantwood.TokenCount
	// Unread is the number of prompt tokens of requests without a first event.
	Unread currantwood.TokenCount
}

// Loads are the loads of upstreams.
type Loads map[currantwood.UpstreamID]Load

// Add adds what one request brings.
func (l *Load) Add(o Load) {
	l.Requests += o.Requests
	l.Tokens += o.Tokens
	l.Unread += o.Unread
}

// Take takes away what one request, or one gateway, brought.
func (l *Load) Take(o Load) {
	l.Requests = max(0, l.Requests-o.Requests)
	l.Tokens = max(0, l.Tokens-o.Tokens)
	l.Unread = max(0, l.Unread-o.Unread)
}

// Query is what a choice depends on.
type Query struct {
	Group currantwood.GroupID
	Load  Load
	// Near is the availability zone to be near to.
	Near currantwood.ZoneID
	// Exclude are the upstreams that must not be chosen.
	Exclude []currantwood.UpstreamID
	// Room is whether the upstream must have memory for the whole load.
	Room bool
	// Within is the time in which the upstream must come to read the prompt,
	// after those that arrived before; 0 for whenever that may be.
	Within time.Duration
	// Quiet is whether prompts that are still to be read there weigh more: a run
	// that is moved pauses until they are read.
	Quiet bool
	// Reach is how far from Near it may be.
	Reach Reach
}

//go:generate go tool stringer -linecomment -type=Reach,Ending

// Reach says how far away a choice may be.
type Reach uint8

// The reaches.
const (
	Anywhere Reach = iota // anywhere
	InRegion              // region
	InZone                // zone
)

// Choice is the upstream chosen and what decided.
type Choice struct {
	View upstreamkeeper.View
	// Score is the load by which it was chosen; 1 is a full upstream.
	Score float64
	// Load is what was in flight there.
	Load Load
}

// Reading is how an upstream has read one prompt.
type Reading struct {
	// Tokens are those of the prompt and those that were to be read before it.
	Tokens currantwood.TokenCount
	Took   time.Duration
}

type upstream struct {
	view upstreamkeeper.View
	own  Load
}

type peerLoad struct {
	at    time.Time
	loads Loads
}

type group struct {
	traits  currantwood.Group
	prober  *prober.Prober
	members []currantwood.UpstreamID
	// readTokens and readTime are averages over the last prompts.
	readTokens, readTime float64
}

// pace is the time that an engine of the group takes for a prompt token.
func (g *group) pace() time.Duration { return time.Duration(g.readTime / g.readTokens) }

// Balancer holds the loads. It is not safe for concurrent use.
type Balancer struct {
	regions   map[currantwood.ZoneID]currantwood.RegionID
	random    *rand.Rand
	upstreams map[currantwood.UpstreamID]*upstream
	groups    map[currantwood.GroupID]*group
	peers     map[currantwood.VMID]peerLoad
	// gateways is the number of gateways that choose; at least 1.
	gateways int
}

// New returns a balancer that knows no upstream.
func New(regions map[currantwood.ZoneID]currantwood.RegionID, random *rand.Rand) *Balancer {
	return &Balancer{
		regions:   regions,
		random:    random,
		upstreams: make(map[currantwood.UpstreamID]*upstream),
		groups:    make(map[currantwood.GroupID]*group),
		peers:     make(map[currantwood.VMID]peerLoad),
		gateways:  1,
	}
}

// SyncGroups takes the groups of a configuration.
func (b *Balancer) SyncGroups(groups map[currantwood.GroupID]currantwood.Group) {
	for id, traits := range groups {
		b.group(id).traits = traits
	}
}

// SyncUpstreams takes the upstreams that may get work.
func (b *Balancer) SyncUpstreams(views []upstreamkeeper.View) {
	for _, g := range b.groups {
		g.members = g.members[:0]
	}
	known := make(map[currantwood.UpstreamID]bool, len(views))
	for _, view := range views {
		known[view.ID] = true
		u := b.upstreams[view.ID]
		if u == nil || u.view.Born != view.Born {
			u = &upstream{}
			b.upstreams[view.ID] = u
		}
		u.view = view
		g := b.group(view.Group)
		g.members = append(g.members, view.ID)
	}
	for id, u := range b.upstreams {
		if !known[id] && u.own.Requests <= 0 {
			delete(b.upstreams, id)
		}
	}
	for _, g := range b.groups {
		g.prober.Sync(g.members)
	}
}

func (b *Balancer) group(id currantwood.GroupID) *group {
	g := b.groups[id]
	if g == nil {
		options := prober.Options{FirstOut: firstOut, LongestOut: longestOut}
		g = &group{prober: prober.New(options, b.random), readTokens: 1, readTime: float64(firstPace)}
		b.groups[id] = g
	}
	return g
}

// SyncGateways takes the number of gateways that choose among the same
// upstreams.
func (b *Balancer) SyncGateways(count int) { b.gateways = max(1, count) }

// SyncPeer takes what a peer has in flight.
func (b *Balancer) SyncPeer(now time.Time, peer currantwood.VMID, loads Loads) {
	b.peers[peer] = peerLoad{at: now, loads: loads}
}

// Own returns what this process has in flight, for its peers.
func (b *Balancer) Own() Loads {
	loads := make(Loads, len(b.upstreams))
	for id, u := range b.upstreams {
		if u.own.Requests > 0 {
			loads[id] = u.own
		}
	}
	return loads
}

// Total is what this process and its peers have in flight at an upstream.
func (b *Balancer) Total(now time.Time, id currantwood.UpstreamID) Load {
	var total Load
	if u := b.upstreams[id]; u != nil {
		total = u.own
	}
	for _, p := range b.peers {
		if now.Sub(p.at) < peerBelief {
			total.Add(p.loads[id])
		}
	}
	return total
}

// Pick chooses an upstream. It returns a RefusalError if none may be chosen.
func (b *Balancer) Pick(now time.Time, q Query) (Choice, error) {
	g := b.groups[q.Group]
	if g == nil {
		return Choice{}, &RefusalError{}
	}
	best, found := Choice{}, false
	refused := &RefusalError{}
	looked, sample := 0, b.sample(g, q)
	for _, i := range b.random.Perm(len(g.members)) {
		id := g.members[i]
		u := b.upstreams[id]
		if slices.Contains(q.Exclude, id) || !g.prober.Admits(now, id) || !b.reaches(q, u.view.Zone) {
			continue
		}
		choice := b.weigh(now, g, u, q)
		if q.Room && !hasRoom(g, choice, q) {
			continue
		}
		if late := g.late(choice, q); late > 0 {
			refused.note(late)
			continue
		}
		if !found || choice.Score < best.Score {
			best, found = choice, true
		}
		if looked++; looked == sample {
			break
		}
	}
	if !found {
		return Choice{}, refused
	}
	return best, nil
}

// late is by how much an upstream would come too late to read the prompt.
func (g *group) late(c Choice, q Query) time.Duration {
	if q.Within <= 0 {
		return 0
	}
	return time.Duration(c.Load.Unread)*g.pace() - q.Within
}

// sample is the number of upstreams, with room if that is asked for, that a
// choice looks at. What others have in flight is known with a delay, and
// meanwhile all of them see the same upstream as the emptiest; the more gateways
// there are, the fewer each looks at.
func (b *Balancer) sample(g *group, q Query) int {
	if q.Reach != Anywhere {
		return maxSample
	}
	return min(maxSample, max(minSample, len(g.members)/b.gateways+1))
}

func hasRoom(g *group, c Choice, q Query) bool {
	e := g.traits.Engine
	if e == nil {
		return true
	}
	return c.Load.Tokens+q.Load.Tokens <= e.MemoryTokens && c.Load.Requests < e.Slots
}

// weigh scores an upstream: how full it would be, and how far away it is.
func (b *Balancer) weigh(now time.Time, g *group, u *upstream, q Query) Choice {
	load := b.Total(now, u.view.ID)
	slots := max(1, u.view.Slots)
	score := float64(load.Requests+1) / float64(slots)
	if e := g.traits.Engine; e != nil && e.MemoryTokens > 0 {
		memory := float64(load.Tokens+q.Load.Tokens) / float64(e.MemoryTokens)
		score = (score+memory)/2 + float64(load.Unread)/readAhead
		if q.Quiet {
			score += quietWeight * float64(load.Unread) / readAhead
		}
	}
	score += b.distance(q.Near, u.view.Zone)
	if now.Before(u.view.WarmAt) {
		score += warmUpPenalty
	}
	// Equal scores are told apart at random, or all processes choose alike.
	score += b.random.Float64() * 0.01
	return Choice{View: u.view, Score: score, Load: load}
}

// reaches reports whether an availability zone is near enough for a query.
func (b *Balancer) reaches(q Query, zone currantwood.ZoneID) bool {
	switch q.Reach {
	case InZone:
		return zone == q.Near
	case InRegion:
		return b.regions[zone] == b.regions[q.Near]
	default:
		return true
	}
}

func (b *Balancer) distance(from, to currantwood.ZoneID) float64 {
	if from == to {
		return 0
	}
	if b.regions[from] == b.regions[to] {
		return zonePenalty
	}
	return regionPenalty
}

// Started notes a request sent to an upstream. Patience is the longest time
// that a healthy upstream leaves it without progress.
func (b *Balancer) Started(now time.Time, u upstreamkeeper.View, load Load, patience time.Duration) {
	state := b.upstreams[u.ID]
	if state == nil || state.view.Born != u.Born {
		return
	}
	state.own.Add(load)
	b.group(u.Group).prober.Started(now, u.ID, patience)
}

// Read notes that the prompt of a request has been read. The reading is zero
// where the request brought no new prompt.
func (b *Balancer) Read(u upstreamkeeper.View, unread currantwood.TokenCount, r Reading) {
	if state := b.upstreams[u.ID]; state != nil && state.view.Born == u.Born {
		state.own.Unread = max(0, state.own.Unread-unread)
	}
	if r.Tokens > 0 {
		g := b.group(u.Group)
		g.readTokens += (float64(r.Tokens) - g.readTokens) / paceMemory
		g.readTime += (float64(r.Took) - g.readTime) / paceMemory
	}
}

// Progressed notes that an upstream works on what it was sent.
func (b *Balancer) Progressed(now time.Time, u upstreamkeeper.View) {
	b.group(u.Group).prober.Progressed(now, u.ID)
}

// Ending says what the end of a request tells about its upstream.
type Ending uint8

// The endings.
const (
	Served  Ending = iota + 1 // served
	Failed                    // failed
	Neutral                   // neutral
)

// Ended notes the end of a request with the load that Started was given, less
// what Read took.
func (b *Balancer) Ended(now time.Time, u upstreamkeeper.View, load Load, ending Ending) {
	state := b.upstreams[u.ID]
	if state == nil || state.view.Born != u.Born {
		return
	}
	state.own.Take(load)
	p := b.group(u.Group).prober
	switch ending {
	case Served:
		p.Ended(now, u.ID, true)
	case Failed:
		p.Ended(now, u.ID, false)
	case Neutral:
		p.Dropped(u.ID)
	}
}

// Frozen takes out the upstreams that hold requests without progress.
func (b *Balancer) Frozen(now time.Time) []currantwood.UpstreamID {
	var frozen []currantwood.UpstreamID
	for _, g := range b.groups {
		frozen = append(frozen, g.prober.Frozen(now)...)
	}
	return frozen
}

// Out is the number of upstreams of a group that are left out.
func (b *Balancer) Out(now time.Time, id currantwood.GroupID) int {
	g := b.groups[id]
	if g == nil {
		return 0
	}
	out := 0
	for _, member := range g.members {
		if g.prober.Out(now, member) {
			out++
		}
	}
	return out
}
