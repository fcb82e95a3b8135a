// Package tracker keeps the state of the upstreams that an entry has links to: the
// link to each, the last load report of its side process (the sidecar in front of
// it), the entry's own requests in flight there, and whether it fails or makes no
// progress.
package tracker

import (
	"sync"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/linker"
	"github.com/currantwood/currantwood/prober"
	"github.com/currantwood/currantwood/wire"
)

// Tracker holds the state of an entry's upstreams. It is safe for concurrent use.
type Tracker struct {
	// mu guards sides. It may be held when health.mu is locked, not the other
	// way round.
	mu sync.RWMutex
	// sides holds the state of each upstream's side, with the newest link to it.
	sides map[currantwood.UpstreamID]*side

	health *health
}

// side is what the entry knows of one upstream and its side process.
type side struct {
	link *linker.Link
	// load is the last report on link, nil before the first.
	load *wire.Load
	// reportedAt is when load arrived.
	reportedAt time.Time
	// leaving is whether the side has said on link that it takes no new
	// requests.
	leaving bool
	// inFlight is the number of this entry's own requests at the upstream; >= 0.
	inFlight int
}

// New returns a tracker without links.
func New() *Tracker {
	return &Tracker{sides: make(map[currantwood.UpstreamID]*side), health: newHealth()}
}

// AddLink adds a link to a side. It replaces an older link to the same upstream and
// keeps that one's count of requests in flight.
func (t *Tracker) AddLink(link *linker.Link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	upstream := currantwood.UpstreamID(link.Peer().Upstream)
	previous := t.sides[upstream]
	next := &side{link: link}
	if previous != nil {
		next.inFlight = previous.inFlight
	}
	t.sides[upstream] = next
	t.syncProber(currantwood.GroupID(link.Peer().Group))
}

// RemoveLink removes a closed link, unless a newer one has replaced it.
func (t *Tracker) RemoveLink(link *linker.Link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	upstream := currantwood.UpstreamID(link.Peer().Upstream)
	if s := t.sides[upstream]; s != nil && s.link == link {
		delete(t.sides, upstream)
		t.syncProber(currantwood.GroupID(link.Peer().Group))
	}
}

// RecordLoad records a side's load report. A report on a link that was replaced or
// removed is ignored.
func (t *Tracker) RecordLoad(now time.Time, link *linker.Link, load *wire.Load) {
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

// RecordLeaving records that a side takes no new requests. It is ignored on a link
// that was replaced or removed.
func (t *Tracker) RecordLeaving(link *linker.Link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.sides[currantwood.UpstreamID(link.Peer().Upstream)]; s != nil && s.link == link {
		s.leaving = true
	}
}

// Link returns the link to an upstream, or nil if there is none.
func (t *Tracker) Link(upstream currantwood.UpstreamID) *linker.Link {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if s := t.sides[upstream]; s != nil {
		return s.link
	}
	return nil
}

// Links returns the links to all upstreams, in no particular order.
func (t *Tracker) Links() []*linker.Link {
	t.mu.RLock()
	defer t.mu.RUnlock()
	links := make([]*linker.Link, 0, len(t.sides))
	for _, s := range t.sides {
		links = append(links, s.link)
	}
	return links
}

// Headroom returns the sum of the headroom last reported by the sides that aren't
// leaving.
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

// HasInFlight reports whether this entry has requests in flight at an upstream.
func (t *Tracker) HasInFlight(upstream currantwood.UpstreamID) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	s := t.sides[upstream]
	return s != nil && s.inFlight > 0
}

// Started records that this entry sends a request to an upstream. EndedNeutral or
// Ended must be called once for each call of Started.
func (t *Tracker) Started(upstream currantwood.UpstreamID) {
	t.addInFlight(upstream, 1)
	if link := t.Link(upstream); link != nil {
		t.withProberOf(upstream, func(p *prober.Prober) { p.Started(time.Now(), upstream, stallTimeoutOf(link)) })
	}
}

// EndedNeutral records the end of a request that Started recorded and whose result
// says nothing about the health of the upstream. Ended is for all others.
func (t *Tracker) EndedNeutral(upstream currantwood.UpstreamID) {
	t.addInFlight(upstream, -1)
	t.withProberOf(upstream, func(p *prober.Prober) { p.EndedNeutral(upstream) })
}

// addInFlight adds change to the number of requests in flight at an upstream. The
// number stays at 0 or above: a request that started before the link was removed
// may end after it was added again, when the count has restarted at 0.
func (t *Tracker) addInFlight(upstream currantwood.UpstreamID, change int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.sides[upstream]; s != nil {
		s.inFlight = max(0, s.inFlight+change)
	}
}

// Candidates returns the upstreams of a group that take new requests, in no
// particular order. Their Latency and CachedTokens aren't set.
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
	return t.health.filterAdmitted(group, candidates)
}

// candidate returns the side's upstream as a candidate. The fields that come from a
// load report are 0 before the first.
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
