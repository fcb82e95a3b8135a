// Package balancer chooses the upstream of a group that a request is sent to.
//
// It scores upstreams by the requests that this gateway and its peers have in
// flight there, not by the load that upstreams report: a report is out of date
// when it arrives, and all gateways that read the same one would choose the
// same upstream. An engine prefills a prompt (computes its key-value cache)
// before it generates the first token, which arrives as the first event of the
// response; prompts that it has not prefilled yet delay those that come later.
//
// Upstreams may also report how long work takes there now, relative to the usual time. This
// is averaged over some seconds and all gateways. One that is slow gets less work, and
// generations with a long output go elsewhere if they can. Where the time grows faster than
// throughput beyond some number of concurrent requests, that number takes the place of the
// slots in the score.
package balancer

import (
	"math/rand"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/capacity/limitkeeper"
	"github.com/currantwood/currantwood/capacity/lossforecaster"
	"github.com/currantwood/currantwood/capacity/speedkeeper"
	"github.com/currantwood/currantwood/noticekeeper"
	"github.com/currantwood/currantwood/prober"
	"github.com/currantwood/currantwood/upstreamkeeper"
)

const (
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
	// lossRate is how many losses per second are expected of it beyond those of the rest of
	// its group.
	lossRate float64
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
	// rooms holds what Room found in large groups for many requests.
	rooms map[roomKey]*roomView
	// limits estimates how many concurrent requests each upstream handles well.
	limits *limitkeeper.Keeper
	// losses estimates which upstreams are likely to be taken away. lossesAt is when the
	// estimates were applied last, highLoss how many upstreams have a rate.
	losses   *lossforecaster.Keeper
	lossesAt time.Time
	highLoss int
}

// New returns a balancer without upstreams, given the region of each
// availability zone, the keeper of what upstreams say of themselves and a source of
// random numbers.
func New(regions map[currantwood.ZoneID]currantwood.RegionID, notices *noticekeeper.Keeper, random *rand.Rand) *Balancer {
	return &Balancer{
		notices:      notices,
		speeds:       speedkeeper.New(),
		limits:       limitkeeper.New(),
		losses:       lossforecaster.New(),
		regions:      regions,
		random:       random,
		upstreams:    make(map[currantwood.UpstreamID]*upstream),
		groups:       make(map[currantwood.GroupID]*group),
		peers:        make(map[currantwood.VMID]peerLoad),
		gatewayCount: 1,
		rooms:        make(map[roomKey]*roomView),
	}
}

// SetGroups sets the properties of the groups of a configuration.
func (b *Balancer) SetGroups(groups map[currantwood.GroupID]currantwood.Group) {
	b.forgetRooms()
	for id, config := range groups {
		b.group(id).config = config
	}
}

// SetUpstreams replaces the upstreams that may be chosen. The load of upstreams
// that are missing from views is kept while they have requests in flight. An
// upstream that has restarted under the same ID begins without load of this
// gateway, but its health is kept.
func (b *Balancer) SetUpstreams(views []upstreamkeeper.View) {
	b.forgetRooms()
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
	isKnown := func(id currantwood.UpstreamID) bool { return known[id] }
	b.speeds.Forget(isKnown)
	b.limits.Forget(isKnown)
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

// Unread records that the response of a request at an upstream isn't read for now, since its
// client doesn't read. Reread must follow before the request ends.
func (b *Balancer) Unread(view upstreamkeeper.View) {
	b.group(view.Group).prober.Unread(view.ID)
}

// Reread records that the response of such a request is read again.
func (b *Balancer) Reread(now time.Time, view upstreamkeeper.View) {
	b.group(view.Group).prober.Reread(now, view.ID)
}

// Progressed records a sign that an upstream works on its requests.
func (b *Balancer) Progressed(now time.Time, view upstreamkeeper.View) {
	b.group(view.Group).prober.Progressed(now, view.ID)
}
