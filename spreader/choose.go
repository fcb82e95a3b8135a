package spreader

import (
	"time"

	"github.com/currantwood/currantwood/wire"
)

// offer tells up to fanOut peers that lack the head of its revision, those of
// other regions first, since each of them serves a region.
func (s *Spreader) offer(now time.Time) []Send {
	var sends []Send
	for _, remote := range [...]bool{true, false} {
		for _, p := range s.peers {
			if len(sends) == fanOut {
				return sends
			}
			if s.remote(p) == remote && s.wantsOffer(now, p) {
				sends = append(sends, s.offerTo(now, p))
			}
		}
	}
	return sends
}

func (s *Spreader) wantsOffer(now time.Time, p *peer) bool {
	head := s.anchor.Head.Revision
	if p.known >= head {
		return p.offered < head
	}
	return p.offered < head || now.Sub(p.offeredAt) >= offerAgain
}

func (s *Spreader) offerTo(now time.Time, p *peer) Send {
	p.offered, p.offeredAt = s.anchor.Head.Revision, now
	return Send{Peer: p.ID, Frame: &wire.Frame{Body: &wire.Frame_HeadOffer{HeadOffer: &wire.HeadOffer{
		Revision:    uint64(s.anchor.Head.Revision),
		Publication: string(s.anchor.Head.Publication),
	}}}}
}

// fetchNext asks one peer for a higher revision, unless a fetch is on its way.
func (s *Spreader) fetchNext(now time.Time) []Send {
	if s.fetch.peer != nil {
		return nil
	}
	best := s.bestSource(now)
	if best == nil {
		return nil
	}
	s.fetch = fetch{peer: best, at: now}
	have := s.anchor.Head.Revision
	if best.whole {
		have = 0
	}
	return []Send{{Peer: best.ID, Frame: &wire.Frame{Body: &wire.Frame_HeadFetch{HeadFetch: &wire.HeadFetch{Have: uint64(have)}}}}}
}

// bestSource returns the peer to fetch from: one of this region goes first,
// then the highest revision. A peer that just failed is left out for a while.
func (s *Spreader) bestSource(now time.Time) *peer {
	var best *peer
	for _, p := range s.peers {
		if !s.canServe(now, p) {
			continue
		}
		if best == nil || s.better(p, best) {
			best = p
		}
	}
	return best
}

func (s *Spreader) canServe(now time.Time, p *peer) bool {
	head := s.anchor.Head.Revision
	if p.known <= head || now.Sub(p.failedAt) < fetchTimeout {
		return false
	}
	return head == 0 || !s.remote(p) || now.Sub(p.knownAt) >= remoteDelay
}

func (s *Spreader) better(p, than *peer) bool {
	if s.remote(p) != s.remote(than) {
		return !s.remote(p)
	}
	return p.known > than.known
}

func (s *Spreader) remote(p *peer) bool {
	return p.Region != s.options.Region
}
