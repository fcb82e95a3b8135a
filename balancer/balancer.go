// Package balancer chooses the upstream of a group that a request is sent to.
//
// Upstreams may report how long work takes there now; one that is slow gets less of it, and
// generations with a long output go elsewhere if they can.
//
// It scores upstreams by the requests that this gateway and its peers have in
// flight there, not by the load that upstreams report: a report is out of date
// when it arrives, and all gateways that read the same one would choose the
// same upstream. An engine prefills a prompt (computes its key-value cache)
// before it generates the first token, which arrives as the first event of the
// response; prompts that it has not prefilled yet delay those that come later.
package balancer

import (
	"math/rand"
	"slices"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/capacity/speedkeeper"
	"github.com/currantwood/currantwood/noticekeeper"
	"github.com/currantwood/currantwood/prober"
	"github.com/currantwood/currantwood/upstreamkeeper"
)

const (
	// minSample and maxSample bound the number of upstreams that one choice
	// compares.
	minSample = 5
	maxSample = 48
	// regionPenalty is added to the score of an upstream outside the preferred
	// region. One inside may be fuller by that much and still be chosen.
	regionPenalty = 0.12
	// zonePenalty is added to the score of an upstream in another availability
	// zone of the preferred region.
	zonePenalty = 0.03
	// warmUpPenalty is added to the score of an upstream that is still slow
	// after its start.
	warmUpPenalty = 0.25
	// resumePenalty is added to the score of an upstream whose pause has just ended, for
	// fewer and fewer requests.
	resumePenalty = 0.5
	// slownessPenalty is added to the score of an upstream at which work takes twice the
	// usual time, for a request whose output is long. It outweighs regionPenalty: the slow
	// upstream delays each event, the distance only the first one.
	slownessPenalty = 0.4
	// longOutputTokens is the number of output tokens from which on a request takes mostly
	// as long as its output.
	longOutputTokens = 256
	// fullPrefillQueue is the number of queued prompt tokens, those not prefilled
	// yet, that scores like a full upstream. Their prefill takes a second at 14
	// tokens per millisecond, and 2.1 s at initialPrefillTimePerToken.
	fullPrefillQueue = 14_000
	// avoidPrefillWeight is the additional weight of queued prompt tokens where
	// the upstream is chosen for a run that is moved.
	avoidPrefillWeight = 4
	// initialPrefillTimePerToken is the estimate of an engine's prefill time per
	// prompt token before any prompt has been measured.
	initialPrefillTimePerToken = 150 * time.Microsecond
	// prefillAverageDivisor is the reciprocal of the weight that each new prompt
	// has in the exponential moving averages of a group.
	prefillAverageDivisor = 32
	// peerLoadMaxAge is how long the loads that a peer reported are used.
	peerLoadMaxAge = 2 * time.Second
	// baseEjection is the length of the first ejection of an upstream, and
	// maxEjection bounds the doubling of further ones; both before jitter.
	baseEjection = 1500 * time.Millisecond
	maxEjection  = 6 * time.Second
)

type upstream struct {
	view upstreamkeeper.View
	// own is what this gateway has in flight there.
	own Load
	// isMember is whether it may be chosen; it stays for its load otherwise.
	isMember bool
}

// peerLoad holds the loads that a peer reported at a time.
type peerLoad struct {
	at    time.Time
	loads Loads
}

// Balancer tracks the load and health of upstreams and chooses among them. It is
// not safe for concurrent use.
type Balancer struct {
	regions   map[currantwood.ZoneID]currantwood.RegionID
	random    *rand.Rand
	upstreams map[currantwood.UpstreamID]*upstream
	groups    map[currantwood.GroupID]*group
	peers     map[currantwood.VMID]peerLoad
	// gatewayCount is the number of gateways that share the upstreams, this one
	// included; at least 1.
	gatewayCount int
	// notices holds what upstreams say of themselves, which decides whether a request may
	// be sent to them now.
	notices *noticekeeper.Keeper
	// slow lists the upstreams for which the probers currently allow more time.
	slow []currantwood.UpstreamID
	// speeds estimates how long work takes at each upstream.
	speeds *speedkeeper.Keeper
}

// New returns a balancer without upstreams, given the region of each
// availability zone, the keeper of what upstreams say of themselves and a source of
// random numbers.
func New(regions map[currantwood.ZoneID]currantwood.RegionID, notices *noticekeeper.Keeper, random *rand.Rand) *Balancer {
	return &Balancer{
		notices:      notices,
		speeds:       speedkeeper.New(),
		regions:      regions,
		random:       random,
		upstreams:    make(map[currantwood.UpstreamID]*upstream),
		groups:       make(map[currantwood.GroupID]*group),
		peers:        make(map[currantwood.VMID]peerLoad),
		gatewayCount: 1,
	}
}

// SetGroups sets the properties of the groups of a configuration.
func (b *Balancer) SetGroups(groups map[currantwood.GroupID]currantwood.Group) {
	for id, config := range groups {
		b.group(id).config = config
	}
}

// SetUpstreams replaces the upstreams that may be chosen. The load of upstreams
// that are missing from views is kept while they have requests in flight. An
// upstream that has restarted under the same ID begins without load of this
// gateway, but its health is kept.
func (b *Balancer) SetUpstreams(views []upstreamkeeper.View) {
	for _, g := range b.groups {
		g.clearMembers()
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
		g.addMember(view.ID, b.regions[view.Zone])
	}
	for id, u := range b.upstreams {
		u.isMember = known[id]
		if !u.isMember && u.own.Requests <= 0 {
			delete(b.upstreams, id)
		}
	}
	b.speeds.Forget(func(id currantwood.UpstreamID) bool { return known[id] })
	for _, g := range b.groups {
		g.prober.SetUpstreams(g.members)
	}
}

func (b *Balancer) group(id currantwood.GroupID) *group {
	g := b.groups[id]
	if g == nil {
		options := prober.Options{BaseEjection: baseEjection, MaxEjection: maxEjection}
		g = &group{prober: prober.New(options, b.random), averageSampleTokens: 1, averageSampleTime: float64(initialPrefillTimePerToken)}
		b.groups[id] = g
	}
	return g
}

// SetGatewayCount sets the number of gateways that share the upstreams, this one
// included.
func (b *Balancer) SetGatewayCount(count int) { b.gatewayCount = max(1, count) }

// Pick chooses the upstream with the lowest score from a random sample of the
// group. It returns a *RefusalError if none may be chosen.
func (b *Balancer) Pick(now time.Time, q Query) (Choice, error) {
	g := b.groups[q.Group]
	if g == nil {
		return Choice{}, &RefusalError{}
	}
	best, found := Choice{}, false
	var refused RefusalError
	remaining, outside := g.startDraw(q.Regions)
	if !q.Counted {
		g.noteBound(q.Regions)
		g.noteDemand(now, b.notices)
	}
	refused.OutsideRegions = outside
	considered, limit := 0, b.sampleSize(remaining, q)
	if q.Only != "" {
		best, found = b.consider(now, g, b.upstreams[q.Only], q, &refused)
		remaining = 0
	}
	for ; remaining > 0; remaining-- {
		choice, may := b.consider(now, g, b.upstreams[g.draw(b.random, remaining)], q, &refused)
		if !may {
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
		// Copied, so that a choice that succeeds needs no memory.
		refusal := refused
		return Choice{}, &refusal
	}
	return best, nil
}

// consider scores an upstream, which may be nil, and reports whether it may be chosen. It
// notes in refused why not.
func (b *Balancer) consider(now time.Time, g *group, u *upstream, q Query, refused *RefusalError) (Choice, bool) {
	if u == nil || !u.isMember || u.view.Group != q.Group || !b.isCandidate(now, g, u, q) {
		return Choice{}, false
	}
	id := u.view.ID
	if verdict := b.notices.Check(now, noticekeeper.TargetOf(u.view.UpstreamRecord), q.Regions); !verdict.Admitted() {
		refused.lowerRetryAfterNotice(id, verdict)
		return Choice{}, false
	}
	choice := b.evaluate(now, g, u, q)
	if q.RequireCapacity && !hasCapacity(g, choice, q) {
		refused.Full = refused.Full || g.fitsEmpty(q)
		return Choice{}, false
	}
	if excess := g.excessPrefillWait(choice, q, b.speeds.RelativeTime(now, id)); excess > 0 {
		refused.Full = true
		refused.lowerRetryAfter(excess)
		return Choice{}, false
	}
	return choice, true
}

// isCandidate reports whether an upstream may be chosen, apart from what it says of itself
// and from its load.
func (b *Balancer) isCandidate(now time.Time, g *group, u *upstream, q Query) bool {
	id := u.view.ID
	if q.Only != "" && id != q.Only {
		return false
	}
	return !slices.Contains(q.Exclude, id) && g.prober.Admits(now, id) && b.inReach(q, u.view.Zone) && q.admitsVersion(u.view.Version)
}

// sampleSize returns the number of eligible upstreams that a choice compares at
// most. The loads of peers arrive with a delay, in which all gateways see the
// same upstream as the least loaded; the more gateways there are, the fewer
// upstreams each compares, so that they don't all choose that one. members is the number
// of upstreams in the regions of the query. For a query
// with a limited reach it is maxSample.
func (b *Balancer) sampleSize(members int, q Query) int {
	if q.Reach != Anywhere {
		return maxSample
	}
	return min(maxSample, max(minSample, members/b.gatewayCount+1))
}

// evaluate scores an upstream by the requests and memory in use with this
// request, its queued prompts, its speed, its distance, whether it is warming up or was
// paused, and whether others need its room more.
func (b *Balancer) evaluate(now time.Time, g *group, u *upstream, q Query) Choice {
	load := b.TotalLoad(now, u.view.ID)
	slots := max(1, u.view.Slots)
	score := float64(load.Requests+1) / float64(slots)
	used := score
	if e := g.config.Engine; e != nil && e.MemoryTokens > 0 {
		memory := float64(load.MemoryTokens+q.Load.MemoryTokens) / float64(e.MemoryTokens)
		used = max(used, memory)
		score = (score+memory)/2 + float64(load.PrefillTokens)/fullPrefillQueue
		if q.AvoidPrefill {
			score += avoidPrefillWeight * float64(load.PrefillTokens) / fullPrefillQueue
		}
	}
	relativeTime := b.speeds.RelativeTime(now, u.view.ID)
	if used > 1 {
		// An upstream that the request would fill beyond its slots or memory doesn't count
		// as fast.
		relativeTime = max(1, relativeTime)
	}
	score *= relativeTime
	score += slownessPenalty * (relativeTime - 1) * q.longOutputShare()
	// The prompt itself takes longer at a slow upstream, too.
	score += (relativeTime - 1) * float64(q.Load.PrefillTokens) / fullPrefillQueue
	score += b.distancePenalty(q.Zone, u.view.Zone)
	score += b.roomPenalty(g, q, u.view.Zone, used)
	if now.Before(u.view.WarmAt) {
		score += warmUpPenalty
	}
	if b.random.Float64() >= b.notices.ResumedShare(now, u.view.ID, u.view.Incarnation) {
		score += resumePenalty
	}
	// Random noise keeps gateways from all choosing the same one of upstreams with
	// nearly equal scores.
	score += b.random.Float64() * 0.01
	return Choice{View: u.view, Score: score, Load: load, PickedAt: now}
}

// Started records a request that is sent to an upstream. stallTimeout is how
// long a healthy upstream may go without any of its requests making progress. It
// replaces that of earlier requests, but a deadline that already runs stays.
func (b *Balancer) Started(now time.Time, view upstreamkeeper.View, load Load, stallTimeout time.Duration) {
	u := b.upstreams[view.ID]
	if u == nil || u.view.Incarnation != view.Incarnation {
		return
	}
	u.own.Add(load)
	b.notices.Sent(now, view.ID)
	b.group(view.Group).prober.Started(now, view.ID, stallTimeout)
}

// Progressed records a sign that an upstream works on its requests.
func (b *Balancer) Progressed(now time.Time, view upstreamkeeper.View) {
	b.group(view.Group).prober.Progressed(now, view.ID)
}
