// Package tracker keeps an entry's view of the upstreams that it has links to:
// which link leads to which upstream and what its side last reported.
package tracker

import (
	"sync"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/linker"
	"github.com/currantwood/currantwood/prober"
	"github.com/currantwood/currantwood/wire"
)

// Tracker is safe for concurrent use.
type Tracker struct {
	mu sync.RWMutex
	// sides holds the newest link to each upstream.
	sides map[currantwood.UpstreamID]*side

	health *health
}

type side struct {
	link *linker.Link
	// load is the last report; nil until one arrived.
	load       *wire.Load
	reportedAt time.Time
	leaving    bool
	inFlight   int
}

// New makes an empty view.
func New() *Tracker {
	return &Tracker{sides: make(map[currantwood.UpstreamID]*side), health: newHealth()}
}

// Up takes in a new link to a side. It replaces an older one.
func (t *Tracker) Up(link *linker.Link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	upstream := currantwood.UpstreamID(link.Peer().Upstream)
	previous := t.sides[upstream]
	next := &side{link: link}
	if previous != nil {
		next.inFlight = previous.inFlight
	}
	t.sides[upstream] = next
	t.sync(currantwood.GroupID(link.Peer().Group))
}

// Down takes a closed link out, unless a newer one has replaced it.
func (t *Tracker) Down(link *linker.Link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	upstream := currantwood.UpstreamID(link.Peer().Upstream)
	if s := t.sides[upstream]; s != nil && s.link == link {
		delete(t.sides, upstream)
		t.sync(currantwood.GroupID(link.Peer().Group))
	}
}

// Load takes in a side's report.
func (t *Tracker) Load(now time.Time, link *linker.Link, load *wire.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.sides[currantwood.UpstreamID(link.Peer().Upstream)]
	if s == nil || s.link != link {
		return
	}
	s.load = load
	s.reportedAt = now
	s.leaving = s.leaving || load.Leaving
}

// Leaving notes that a side takes no new work.
func (t *Tracker) Leaving(link *linker.Link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.sides[currantwood.UpstreamID(link.Peer().Upstream)]; s != nil && s.link == link {
		s.leaving = true
	}
}

// Link returns the live link to an upstream, or nil.
func (t *Tracker) Link(upstream currantwood.UpstreamID) *linker.Link {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if s := t.sides[upstream]; s != nil {
		return s.link
	}
	return nil
}

// Links returns all live links, in no order.
func (t *Tracker) Links() []*linker.Link {
	t.mu.RLock()
	defer t.mu.RUnlock()
	links := make([]*linker.Link, 0, len(t.sides))
	for _, s := range t.sides {
		links = append(links, s.link)
	}
	return links
}

// Headroom sums up what all sides in view last said they could still admit.
func (t *Tracker) Headroom() currantwood.TokenCount {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var sum currantwood.TokenCount
	for _, s := range t.sides {
		if s.load != nil && !s.leaving {
			sum += currantwood.TokenCount(s.load.HeadroomTokens)
		}
	}
	return sum
}

// Busy reports whether this entry has work in flight at an upstream.
func (t *Tracker) Busy(upstream currantwood.UpstreamID) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	s := t.sides[upstream]
	return s != nil && s.inFlight > 0
}

// Begin and End count this entry's own work in flight at an upstream.
func (t *Tracker) Begin(upstream currantwood.UpstreamID) {
	t.count(upstream, 1)
	if link := t.Link(upstream); link != nil {
		t.note(upstream, func(p *prober.Prober) { p.Started(time.Now(), upstream, patienceOf(link)) })
	}
}

// End or Ended is called once for each Begin.
func (t *Tracker) End(upstream currantwood.UpstreamID) {
	t.count(upstream, -1)
	t.note(upstream, func(p *prober.Prober) { p.EndedNeutral(upstream) })
}

func (t *Tracker) count(upstream currantwood.UpstreamID, change int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.sides[upstream]; s != nil {
		s.inFlight = max(0, s.inFlight+change)
	}
}

// Candidates returns the upstreams of a group that take new work.
func (t *Tracker) Candidates(group currantwood.GroupID) []currantwood.Candidate {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var candidates []currantwood.Candidate
	for upstream, s := range t.sides {
		peer := s.link.Peer()
		if s.leaving || currantwood.GroupID(peer.Group) != group {
			continue
		}
		candidates = append(candidates, s.candidate(upstream))
	}
	return t.health.admitted(group, candidates)
}

func (s *side) candidate(upstream currantwood.UpstreamID) currantwood.Candidate {
	c := currantwood.Candidate{
		Upstream:   upstream,
		Region:     currantwood.RegionID(s.link.Peer().Region),
		Zone:       currantwood.ZoneID(s.link.Peer().Zone),
		InFlight:   s.inFlight,
		ReportedAt: s.reportedAt,
	}
	if s.load != nil {
		c.Headroom = currantwood.TokenCount(s.load.HeadroomTokens)
		c.QueueLength = int(s.load.Queued)
		c.PredictedWait = time.Duration(s.load.PredictedWaitMs) * time.Millisecond
	}
	return c
}
