// Package balancer chooses the upstream of a group that a request is sent to.
//
// It scores upstreams by the requests that this gateway and its peers have in
// flight there, not by the load that upstreams report: a report is out of date
// when it arrives, and all gateways that read the same one would choose the
// same upstream. An engine reads a prompt (prefill) before it generates the
// first event; prompts that it has not read yet delay those that come later.
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
	// minSample and maxSample bound the number of upstreams that one choice
	// compares.
	minSample = 5
	maxSample = 48
	// regionPenalty is added to the score of an upstream in another region. One
	// in the preferred region may be fuller by that much and still be chosen.
	regionPenalty = 0.12
	// zonePenalty is the same for another availability zone of that region.
	zonePenalty = 0.03
	// warmUpPenalty is added to the score of an upstream that is still slow
	// after its start.
	warmUpPenalty = 0.25
	// fullPrefillQueue is the number of unread prompt tokens that scores like a
	// full upstream. At 14 tokens per millisecond, reading them takes a second.
	fullPrefillQueue = 14_000
	// avoidPrefillWeight is the additional weight of unread prompt tokens where
	// the upstream is chosen for a run that is moved.
	avoidPrefillWeight = 4
	// initialTokenTime is the estimate of an engine's reading time per prompt
	// token before any prompt has been measured.
	initialTokenTime = 150 * time.Microsecond
	// prefillSamples is the number of prompts that the moving average of the
	// reading time covers.
	prefillSamples = 32
	// peerLoadMaxAge is how long the loads that a peer reported are used.
	peerLoadMaxAge = 2 * time.Second
	// baseEjection is how long an upstream is ejected the first time, and
	// maxEjection bounds the doubling of that time.
	baseEjection = 1500 * time.Millisecond
	maxEjection  = 6 * time.Second
)

// Load is the load of the requests in flight at an upstream.
type Load struct {
	Requests int
	// MemoryTokens is the engine memory that the requests need by their end.
	MemoryTokens currantwood.TokenCount
	// PrefillTokens is the number of prompt tokens of the requests whose first event
	// has not arrived yet.
	PrefillTokens currantwood.TokenCount
}

// Loads holds the load of each upstream.
type Loads map[currantwood.UpstreamID]Load

// Add adds o to l.
func (l *Load) Add(o Load) {
	l.Requests += o.Requests
	l.MemoryTokens += o.MemoryTokens
	l.PrefillTokens += o.PrefillTokens
}

// Subtract lowers l by o. No field falls below 0.
func (l *Load) Subtract(o Load) {
	l.Requests = max(0, l.Requests-o.Requests)
	l.MemoryTokens = max(0, l.MemoryTokens-o.MemoryTokens)
	l.PrefillTokens = max(0, l.PrefillTokens-o.PrefillTokens)
}

// Query describes a request for which an upstream is chosen.
type Query struct {
	Group currantwood.GroupID
	// Load is what the request adds to its upstream.
	Load Load
	// Zone is the availability zone whose upstreams are preferred.
	Zone currantwood.ZoneID
	// Exclude lists the upstreams that must not be chosen.
	Exclude []currantwood.UpstreamID
	// RequireCapacity requires of an engine a free slot, and memory for the whole load.
	RequireCapacity bool
	// MaxPrefillWait is the longest time that the prompt may wait until the upstream
	// has read those that were sent before it; 0 means no limit.
	MaxPrefillWait time.Duration
	// AvoidPrefill raises the weight of unread prompts: a run that is moved to an
	// upstream pauses until they are read.
	AvoidPrefill bool
	// Reach limits how far away the upstream may be.
	Reach Reach
}

//go:generate go tool stringer -linecomment -type=Reach,Outcome

// Reach limits a choice to an availability zone or a region.
type Reach uint8

// Limits of a choice.
const (
	Anywhere Reach = iota // anywhere
	InRegion              // region
	InZone                // zone
)

// Choice is an upstream and how it was scored.
type Choice struct {
	View upstreamkeeper.View
	// Score is the relative load with its penalties, of which the lowest wins;
	// 1 is a full upstream.
	Score float64
	// Load is what was in flight there before the request.
	Load Load
}

// PrefillSample measures how long an upstream took to read a prompt.
type PrefillSample struct {
	// Tokens counts the tokens of the prompt and of those that were to be read
	// before it.
	Tokens currantwood.TokenCount
	// Duration is the time from sending the prompt to its first event.
	Duration time.Duration
}

type upstream struct {
	view upstreamkeeper.View
	// own is what this gateway has in flight there.
	own Load
}

// peerLoad holds the loads that a peer reported at a time.
type peerLoad struct {
	at    time.Time
	loads Loads
}

// group holds the upstreams of one group.
type group struct {
	config  currantwood.Group
	prober  *prober.Prober
	members []currantwood.UpstreamID
	// prefillTokens and prefillTime are moving averages over the last prompts;
	// prefillTime is in nanoseconds.
	prefillTokens, prefillTime float64
}

// tokenTime estimates how long an engine of the group takes to read a prompt
// token.
func (g *group) tokenTime() time.Duration { return time.Duration(g.prefillTime / g.prefillTokens) }

// Balancer tracks the load and health of upstreams and chooses among them. It is
// not safe for concurrent use.
type Balancer struct {
	regions   map[currantwood.ZoneID]currantwood.RegionID
	random    *rand.Rand
	upstreams map[currantwood.UpstreamID]*upstream
	groups    map[currantwood.GroupID]*group
	peers     map[currantwood.VMID]peerLoad
	// gateways is the number of gateways that share the upstreams, this one
	// included; at least 1.
	gateways int
}

// New returns a balancer without upstreams, given the region of each
// availability zone and a source of random numbers.
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

// SetGroups sets the properties of the groups of a configuration.
func (b *Balancer) SetGroups(groups map[currantwood.GroupID]currantwood.Group) {
	for id, config := range groups {
		b.group(id).config = config
	}
}

// SetUpstreams replaces the upstreams that may be chosen. The load of others is
// kept while they have requests in flight. An upstream that has restarted under
// the same ID begins without load.
func (b *Balancer) SetUpstreams(views []upstreamkeeper.View) {
	for _, g := range b.groups {
		g.members = g.members[:0]
	}
	known := make(map[currantwood.UpstreamID]bool, len(views))
	for _, view := range views {
		known[view.ID] = true
		u := b.upstreams[view.ID]
		if u == nil || u.view.Incarnation != view.Incarnation {
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
		g.prober.SetUpstreams(g.members)
	}
}

func (b *Balancer) group(id currantwood.GroupID) *group {
	g := b.groups[id]
	if g == nil {
		options := prober.Options{BaseEjection: baseEjection, MaxEjection: maxEjection}
		g = &group{prober: prober.New(options, b.random), prefillTokens: 1, prefillTime: float64(initialTokenTime)}
		b.groups[id] = g
	}
	return g
}

// SetGatewayCount sets the number of gateways that share the upstreams, this one
// included.
func (b *Balancer) SetGatewayCount(count int) { b.gateways = max(1, count) }

// SetPeerLoads replaces the loads of a peer. They count for peerLoadMaxAge.
func (b *Balancer) SetPeerLoads(now time.Time, peer currantwood.VMID, loads Loads) {
	b.peers[peer] = peerLoad{at: now, loads: loads}
}

// OwnLoads returns what this gateway has in flight at each upstream, to be sent to
// its peers.
func (b *Balancer) OwnLoads() Loads {
	loads := make(Loads, len(b.upstreams))
	for id, u := range b.upstreams {
		if u.own.Requests > 0 {
			loads[id] = u.own
		}
	}
	return loads
}

// TotalLoad returns what this gateway and its peers have in flight at an
// upstream.
func (b *Balancer) TotalLoad(now time.Time, id currantwood.UpstreamID) Load {
	var total Load
	if u := b.upstreams[id]; u != nil {
		total = u.own
	}
	for _, p := range b.peers {
		if now.Sub(p.at) < peerLoadMaxAge {
			total.Add(p.loads[id])
		}
	}
	return total
}

// Pick chooses the upstream with the lowest score from a random sample of the
// group. It returns a *RefusalError if none may be chosen.
func (b *Balancer) Pick(now time.Time, q Query) (Choice, error) {
	g := b.groups[q.Group]
	if g == nil {
		return Choice{}, &RefusalError{}
	}
	best, found := Choice{}, false
	refused := &RefusalError{}
	considered, limit := 0, b.sampleSize(g, q)
	for _, i := range b.random.Perm(len(g.members)) {
		id := g.members[i]
		u := b.upstreams[id]
		if slices.Contains(q.Exclude, id) || !g.prober.Admits(now, id) || !b.inReach(q, u.view.Zone) {
			continue
		}
		choice := b.evaluate(now, g, u, q)
		if q.RequireCapacity && !hasCapacity(g, choice, q) {
			continue
		}
		if excess := g.queueExcess(choice, q); excess > 0 {
			refused.observe(excess)
			continue
		}
		if !found || choice.Score < best.Score {
			best, found = choice, true
		}
		if considered++; considered == limit {
			break
		}
	}
	if !found {
		return Choice{}, refused
	}
	return best, nil
}

// queueExcess returns the time that an upstream needs to read its unread
// prompts, less the time that the prompt of the query may wait. It is positive
// if the upstream is too slow.
func (g *group) queueExcess(c Choice, q Query) time.Duration {
	if q.MaxPrefillWait <= 0 {
		return 0
	}
	return time.Duration(c.Load.PrefillTokens)*g.tokenTime() - q.MaxPrefillWait
}

// sampleSize returns the number of eligible upstreams that a choice compares.
// The loads of peers arrive with a delay, in which all gateways see the same
// upstream as the least loaded; the more gateways there are, the fewer upstreams
// each compares, so that they don't all choose that one.
func (b *Balancer) sampleSize(g *group, q Query) int {
	if q.Reach != Anywhere {
		return maxSample
	}
	return min(maxSample, max(minSample, len(g.members)/b.gateways+1))
}

// hasCapacity reports whether an engine has a free slot, and memory for the load
// of the query. Upstreams that aren't engines always have.
func hasCapacity(g *group, c Choice, q Query) bool {
	e := g.config.Engine
	if e == nil {
		return true
	}
	return c.Load.MemoryTokens+q.Load.MemoryTokens <= e.MemoryTokens && c.Load.Requests < e.Slots
}

// evaluate scores an upstream by how full it would be with the request, how far
// away it is, and whether it is still warming up.
func (b *Balancer) evaluate(now time.Time, g *group, u *upstream, q Query) Choice {
	load := b.TotalLoad(now, u.view.ID)
	slots := max(1, u.view.Slots)
	score := float64(load.Requests+1) / float64(slots)
	if e := g.config.Engine; e != nil && e.MemoryTokens > 0 {
		memory := float64(load.MemoryTokens+q.Load.MemoryTokens) / float64(e.MemoryTokens)
		score = (score+memory)/2 + float64(load.PrefillTokens)/fullPrefillQueue
		if q.AvoidPrefill {
			score += avoidPrefillWeight * float64(load.PrefillTokens) / fullPrefillQueue
		}
	}
	score += b.distancePenalty(q.Zone, u.view.Zone)
	if now.Before(u.view.WarmAt) {
		score += warmUpPenalty
	}
	// Equal scores are told apart at random, so that gateways don't all choose
	// the same upstream.
	score += b.random.Float64() * 0.01
	return Choice{View: u.view, Score: score, Load: load}
}

// inReach reports whether an availability zone is within the reach of a query.
func (b *Balancer) inReach(q Query, zone currantwood.ZoneID) bool {
	switch q.Reach {
	case InZone:
		return zone == q.Zone
	case InRegion:
		return b.regions[zone] == b.regions[q.Zone]
	default:
		return true
	}
}

func (b *Balancer) distancePenalty(from, to currantwood.ZoneID) float64 {
	if from == to {
		return 0
	}
	if b.regions[from] == b.regions[to] {
		return zonePenalty
	}
	return regionPenalty
}

// Started records a request that is sent to an upstream. A healthy upstream
// never leaves it without progress for longer than stallTimeout.
func (b *Balancer) Started(now time.Time, u upstreamkeeper.View, load Load, stallTimeout time.Duration) {
	state := b.upstreams[u.ID]
	if state == nil || state.view.Incarnation != u.Incarnation {
		return
	}
	state.own.Add(load)
	b.group(u.Group).prober.Started(now, u.ID, stallTimeout)
}

// PrefillEnded records that an upstream has read the prompt of a request, which counted
// for unread tokens. The reading is zero if there is no measurement, as for a
// moved run, which brings no new prompt.
func (b *Balancer) PrefillEnded(u upstreamkeeper.View, unread currantwood.TokenCount, r PrefillSample) {
	if state := b.upstreams[u.ID]; state != nil && state.view.Incarnation == u.Incarnation {
		state.own.PrefillTokens = max(0, state.own.PrefillTokens-unread)
	}
	if r.Tokens > 0 {
		g := b.group(u.Group)
		g.prefillTokens += (float64(r.Tokens) - g.prefillTokens) / prefillSamples
		g.prefillTime += (float64(r.Duration) - g.prefillTime) / prefillSamples
	}
}

// Progressed records a sign that an upstream works on its requests.
func (b *Balancer) Progressed(now time.Time, u upstreamkeeper.View) {
	b.group(u.Group).prober.Progressed(now, u.ID)
}

// Outcome says what the end of a request means for the health of its upstream.
type Outcome uint8

// What the end of a request means.
const (
	Served  Outcome = iota + 1 // served
	Failed                     // failed
	Neutral                    // neutral
)

// Ended records the end of a request. The load is the one that Started was
// given, without the prompt tokens that have been read since.
func (b *Balancer) Ended(now time.Time, u upstreamkeeper.View, load Load, ending Outcome) {
	state := b.upstreams[u.ID]
	if state == nil || state.view.Incarnation != u.Incarnation {
		return
	}
	state.own.Subtract(load)
	p := b.group(u.Group).prober
	switch ending {
	case Served:
		p.Ended(now, u.ID, true)
	case Failed:
		p.Ended(now, u.ID, false)
	case Neutral:
		p.EndedNeutral(u.ID)
	}
}

// EjectStalled ejects the upstreams that hold requests without making progress, and
// returns those that it has just ejected.
func (b *Balancer) EjectStalled(now time.Time) []currantwood.UpstreamID {
	var frozen []currantwood.UpstreamID
	for _, g := range b.groups {
		frozen = append(frozen, g.prober.EjectStalled(now)...)
	}
	return frozen
}

// EjectedCount returns the number of upstreams of a group that are ejected.
func (b *Balancer) EjectedCount(now time.Time, id currantwood.GroupID) int {
	g := b.groups[id]
	if g == nil {
		return 0
	}
	count := 0
	for _, member := range g.members {
		if g.prober.Ejected(now, member) {
			count++
		}
	}
	return count
}
