package spreader

import (
	"time"

	"github.com/currantwood/currantwood/wire"
)

// offerHead offers the head to at most maxOffersPerCall of the peers for which
// needsOffer is true. Peers in other regions go first, since each of them passes
// the head on within its region.
func (s *Spreader) offerHead(now time.Time) []OutgoingFrame {
	var sends []OutgoingFrame
	for _, remote := range [...]bool{true, false} {
		for _, p := range s.peers {
			if len(sends) == maxOffersPerCall {
				return sends
			}
			if s.isRemote(p) == remote && s.needsOffer(now, p) {
				sends = append(sends, s.offerTo(now, p))
			}
		}
	}
	return sends
}

// needsOffer reports whether the peer lacks the head and is due for an offer. A
// peer that has the head is offered it once too, which tells it the revision of
// this process.
func (s *Spreader) needsOffer(now time.Time, p *peer) bool {
	head := s.snapshot.Head.Revision
	if p.knownRevision >= head {
		return p.offeredRevision < head
	}
	return p.offeredRevision < head || now.Sub(p.offeredAt) >= reofferInterval
}

func (s *Spreader) offerTo(now time.Time, p *peer) OutgoingFrame {
	p.offeredRevision, p.offeredAt = s.snapshot.Head.Revision, now
	return OutgoingFrame{PeerID: p.ID, Frame: &wire.Frame{Body: &wire.Frame_HeadOffer{HeadOffer: &wire.HeadOffer{
		Revision:    uint64(s.snapshot.Head.Revision),
		Publication: string(s.snapshot.Head.Publication),
	}}}}
}

// startFetch requests a higher revision from one peer, unless a fetch is already
// in progress or no peer can serve one.
func (s *Spreader) startFetch(now time.Time) []OutgoingFrame {
	if s.fetch.peer != nil {
		return nil
	}
	best := s.bestSource(now)
	if best == nil {
		return nil
	}
	s.fetch = fetch{peer: best, startedAt: now}
	have := s.snapshot.Head.Revision
	if best.textUnusable {
		have = 0
	}
	return []OutgoingFrame{{PeerID: best.ID, Frame: &wire.Frame{Body: &wire.Frame_HeadFetch{HeadFetch: &wire.HeadFetch{Have: uint64(have)}}}}}
}

// bestSource returns the peer to fetch from, or nil if there is none. It prefers
// peers in this region, then the highest revision. A peer whose fetch failed
// within the last fetchTimeout is skipped.
func (s *Spreader) bestSource(now time.Time) *peer {
	var best *peer
	for _, p := range s.peers {
		if !s.canServe(now, p) {
			continue
		}
		if best == nil || s.isBetterSource(p, best) {
			best = p
		}
	}
	return best
}

func (s *Spreader) canServe(now time.Time, p *peer) bool {
	head := s.snapshot.Head.Revision
	if p.knownRevision <= head || now.Sub(p.failedAt) < fetchTimeout {
		return false
	}
	return head == 0 || !s.isRemote(p) || now.Sub(p.aheadSince) >= remoteFetchDelay
}

func (s *Spreader) isBetterSource(p, than *peer) bool {
	if s.isRemote(p) != s.isRemote(than) {
		return !s.isRemote(p)
	}
	return p.knownRevision > than.knownRevision
}

func (s *Spreader) isRemote(p *peer) bool {
	return p.Region != s.options.Region
}
