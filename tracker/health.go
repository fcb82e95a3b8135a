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
	// enginePatience is the longest time that an engine which works leaves all
	// of an entry's requests without a token.
	enginePatience = 3 * time.Second
	// servicePatience is the same for the answers of a plain service.
	servicePatience = 10 * time.Second
)

// health holds the upstreams that hold requests without progress, by group.
type health struct {
	mu      sync.Mutex
	random  *rand.Rand
	probers map[currantwood.GroupID]*prober.Prober
}

func newHealth() *health {
	return &health{
		random:  rand.New(rand.NewSource(time.Now().UnixNano())),
		probers: make(map[currantwood.GroupID]*prober.Prober),
	}
}

// do calls f with the prober of a group.
func (h *health) do(group currantwood.GroupID, f func(p *prober.Prober)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.probers[group]
	if p == nil {
		p = prober.New(prober.Options{}, h.random)
		h.probers[group] = p
	}
	f(p)
}

// admitted leaves the candidates that may be given work.
func (h *health) admitted(group currantwood.GroupID, candidates []currantwood.Candidate) []currantwood.Candidate {
	now := time.Now()
	admitted := candidates[:0]
	h.do(group, func(p *prober.Prober) {
		p.EjectStalled(now)
		for _, c := range candidates {
			if p.Admits(now, c.Upstream) {
				admitted = append(admitted, c)
			}
		}
	})
	return admitted
}

// Out reports whether an upstream is left out because it makes no progress.
func (t *Tracker) Out(now time.Time, upstream currantwood.UpstreamID) bool {
	out := false
	t.note(upstream, func(p *prober.Prober) {
		p.EjectStalled(now)
		out = p.Ejected(now, upstream)
	})
	return out
}

// Ended is End for a request whose end says whether the upstream works.
func (t *Tracker) Ended(upstream currantwood.UpstreamID, ok bool) {
	t.count(upstream, -1)
	t.note(upstream, func(p *prober.Prober) { p.Ended(time.Now(), upstream, ok) })
}

// Progress notes that an upstream itself has done something.
func (t *Tracker) Progress(link *linker.Link) {
	peer := link.Peer()
	upstream := currantwood.UpstreamID(peer.Upstream)
	t.health.do(currantwood.GroupID(peer.Group), func(p *prober.Prober) { p.Progressed(time.Now(), upstream) })
}

// Delayed notes that a request waits at a side.
func (t *Tracker) Delayed(link *linker.Link, wait time.Duration) {
	peer := link.Peer()
	upstream := currantwood.UpstreamID(peer.Upstream)
	t.health.do(currantwood.GroupID(peer.Group), func(p *prober.Prober) { p.Queued(time.Now(), upstream, wait) })
}

// note calls f with the prober of an upstream that is in view.
func (t *Tracker) note(upstream currantwood.UpstreamID, f func(p *prober.Prober)) {
	if link := t.Link(upstream); link != nil {
		t.health.do(currantwood.GroupID(link.Peer().Group), f)
	}
}

// sync tells the prober of a group who is in it. The caller holds mu.
func (t *Tracker) sync(group currantwood.GroupID) {
	var upstreams []currantwood.UpstreamID
	for upstream, s := range t.sides {
		if currantwood.GroupID(s.link.Peer().Group) == group {
			upstreams = append(upstreams, upstream)
		}
	}
	t.health.do(group, func(p *prober.Prober) { p.SetUpstreams(upstreams) })
}

func patienceOf(link *linker.Link) time.Duration {
	if link.Peer().Model == "" {
		return servicePatience
	}
	return enginePatience
}
