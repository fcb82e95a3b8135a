package tracker

import (
	"math/rand"
	"sync"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/linker"
	"github.com/currantwood/currantwood/prober"
)

const (
	// engineStallTimeout is the longest time that a working engine takes to produce
	// a token for at least one of the entry's requests in flight there.
	engineStallTimeout = 3 * time.Second
	// serviceStallTimeout is the longest time that a working upstream without a
	// model takes to answer at least one of the entry's requests in flight there.
	serviceStallTimeout = 10 * time.Second
)

// health detects the upstreams that fail, or that hold requests without making
// progress, with one prober for each group. It is safe for concurrent use.
type health struct {
	mu sync.Mutex
	// random is passed to the probers, which use it only while mu is held.
	random  *rand.Rand
	probers map[currantwood.GroupID]*prober.Prober
}

func newHealth() *health {
	return &health{
		random:  rand.New(rand.NewSource(time.Now().UnixNano())),
		probers: make(map[currantwood.GroupID]*prober.Prober),
	}
}

// withProber calls f with the prober of a group while it holds mu. The prober is
// created if there is none.
func (h *health) withProber(group currantwood.GroupID, f func(p *prober.Prober)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.probers[group]
	if p == nil {
		p = prober.New(prober.Options{}, h.random)
		h.probers[group] = p
	}
	f(p)
}

// filterAdmitted returns the candidates that the group's prober admits, which may
// get a new request. It first ejects the upstreams of the group whose progress is
// overdue. It reuses the memory of candidates.
func (h *health) filterAdmitted(group currantwood.GroupID, candidates []currantwood.Candidate) []currantwood.Candidate {
	now := time.Now()
	admitted := candidates[:0]
	h.withProber(group, func(p *prober.Prober) {
		p.EjectStalled(now)
		for _, c := range candidates {
			if p.Admits(now, c.Upstream) {
				admitted = append(admitted, c)
			}
		}
	})
	return admitted
}

// Ejected reports whether an upstream is ejected because it fails or makes no
// progress. It first ejects the upstreams of its group whose progress is overdue.
func (t *Tracker) Ejected(now time.Time, upstream currantwood.UpstreamID) bool {
	ejected := false
	t.withProberOf(upstream, func(p *prober.Prober) {
		p.EjectStalled(now)
		ejected = p.Ejected(now, upstream)
	})
	return ejected
}

// Ended records the success or failure of a request that Started recorded. It is
// called in place of EndedNeutral if the result tells whether the upstream works.
func (t *Tracker) Ended(upstream currantwood.UpstreamID, ok bool) {
	t.addInFlight(upstream, -1)
	t.withProberOf(upstream, func(p *prober.Prober) { p.Ended(time.Now(), upstream, ok) })
}

// Progressed records a token or another sign that an upstream itself works, not
// just its side.
func (t *Tracker) Progressed(link *linker.Link) {
	peer := link.Peer()
	upstream := currantwood.UpstreamID(peer.Upstream)
	t.health.withProber(currantwood.GroupID(peer.Group), func(p *prober.Prober) { p.Progressed(time.Now(), upstream) })
}

// Queued records that a side has queued a request, and the wait after which it
// expects to start it.
func (t *Tracker) Queued(link *linker.Link, wait time.Duration) {
	peer := link.Peer()
	upstream := currantwood.UpstreamID(peer.Upstream)
	t.health.withProber(currantwood.GroupID(peer.Group), func(p *prober.Prober) { p.Queued(time.Now(), upstream, wait) })
}

// withProberOf calls f with the prober of an upstream's group. It does nothing if
// there is no link to the upstream.
func (t *Tracker) withProberOf(upstream currantwood.UpstreamID, f func(p *prober.Prober)) {
	if link := t.Link(upstream); link != nil {
		t.health.withProber(currantwood.GroupID(link.Peer().Group), f)
	}
}

// syncProber sets the upstreams of a group's prober to those with a link. The
// caller holds mu.
func (t *Tracker) syncProber(group currantwood.GroupID) {
	var upstreams []currantwood.UpstreamID
	for upstream, s := range t.sides {
		if currantwood.GroupID(s.link.Peer().Group) == group {
			upstreams = append(upstreams, upstream)
		}
	}
	t.health.withProber(group, func(p *prober.Prober) { p.SetUpstreams(upstreams) })
}

// stallTimeoutOf returns the stall timeout of the upstream that a link leads to. An
// upstream without a model is a plain service.
func stallTimeoutOf(link *linker.Link) time.Duration {
	if link.Peer().Model == "" {
		return serviceStallTimeout
	}
	return engineStallTimeout
}
