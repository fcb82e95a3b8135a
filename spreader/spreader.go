// Package spreader distributes the head of the rules among processes. It does no
// I/O and reads no clock: the caller passes in peers, frames and the time, and
// sends the frames that it returns. Each process offers the revision of a new
// head to a few peers at a time. A process that lacks the revision fetches the
// text from one peer at a time, preferably within its own region, and then offers
// it to its own peers.
package spreader

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/differ"
	"github.com/currantwood/currantwood/headkeeper"
	"github.com/currantwood/currantwood/wire"
)

const (
	// TickInterval is how often Tick is to be called.
	TickInterval = 50 * time.Millisecond
	// maxOffersPerCall bounds the offers of one call of offerHead, so that not
	// all peers fetch from this process at once.
	maxOffersPerCall = 16
	// fetchTimeout bounds the wait for the text after a fetch. It is also how
	// long a peer is skipped after a failed fetch.
	fetchTimeout = 500 * time.Millisecond
	// remoteFetchDelay is how long an offer from another region waits for one
	// from this region, since traffic between regions is billed. A process
	// without a head does not wait.
	remoteFetchDelay = 200 * time.Millisecond
	// reofferInterval is the time after which an offer is repeated to a peer
	// that still lacks the head.
	reofferInterval = 2 * time.Second
	// maxHistory is the number of previous heads kept as bases for diffs.
	maxHistory = 8
)

// Peer is a process at the other end of a live link.
type Peer struct {
	// ID identifies the link; the caller chooses it.
	ID     string
	Region currantwood.RegionID
}

// OutgoingFrame is a frame and the ID of the peer to send it to.
type OutgoingFrame struct {
	PeerID string
	Frame  *wire.Frame
}

// Options configures a Spreader.
type Options struct {
	Region currantwood.RegionID
	// Random determines the order of the peers; the caller seeds it.
	Random *rand.Rand
}

// peer is the state kept for one link.
type peer struct {
	Peer
	// knownRevision is the highest revision that the peer has announced.
	knownRevision currantwood.Revision
	// aheadSince is the time since which knownRevision has exceeded this
	// process's revision.
	aheadSince time.Time
	// offeredRevision is the revision that was last offered to the peer.
	offeredRevision currantwood.Revision
	offeredAt       time.Time
	// failedAt is the time of the last failed fetch from the peer.
	failedAt time.Time
	// textUnusable reports whether the last text from the peer was unusable: its
	// diff did not apply or its hash did not match. A fetch from the peer then
	// requests the full text.
	textUnusable bool
}

// fetch is the fetch in progress; there is at most one.
type fetch struct {
	// peer is nil if no fetch is in progress.
	peer      *peer
	startedAt time.Time
}

// Spreader holds the head of one process and what its peers have. It is not safe
// for concurrent use.
type Spreader struct {
	options  Options
	snapshot headkeeper.Snapshot
	// history holds up to maxHistory previous heads, the newest last.
	history []currantwood.RulesHead
	// diffs caches diffs to the current head, by base revision.
	diffs map[currantwood.Revision]string
	// peers is in random order, so that processes do not all offer to, and fetch
	// from, the same peers first.
	peers []*peer
	fetch fetch
}

// New returns a spreader without a head.
func New(options Options) *Spreader {
	return &Spreader{options: options, diffs: make(map[currantwood.Revision]string)}
}

// Snapshot returns the head and the log offset below which all records are reflected
// in it.
func (s *Spreader) Snapshot() headkeeper.Snapshot {
	return s.snapshot
}

// Adopt replaces the head and offers the new one to peers. An anchor whose
// revision is not higher is ignored.
func (s *Spreader) Adopt(now time.Time, anchor headkeeper.Snapshot) []OutgoingFrame {
	if anchor.Head.Revision <= s.snapshot.Head.Revision {
		return nil
	}
	if s.snapshot.Head.Revision > 0 {
		s.history = append(s.history, s.snapshot.Head)
	}
	if len(s.history) > maxHistory {
		s.history = s.history[1:]
	}
	s.snapshot = anchor
	clear(s.diffs)
	return append(s.offerHead(now), s.startFetch(now)...)
}

// PeerUp adds a peer and offers it the head at once, if there is one.
func (s *Spreader) PeerUp(now time.Time, p Peer) []OutgoingFrame {
	at := s.options.Random.IntN(len(s.peers) + 1)
	added := &peer{Peer: p}
	s.peers = slices.Insert(s.peers, at, added)
	if s.snapshot.Head.Revision == 0 {
		return nil
	}
	return []OutgoingFrame{s.offerTo(now, added)}
}

// PeerDown removes a peer. A fetch in progress from it is retried at another
// peer.
func (s *Spreader) PeerDown(now time.Time, id string) []OutgoingFrame {
	s.peers = slices.DeleteFunc(s.peers, func(p *peer) bool { return p.ID == id })
	if s.fetch.peer == nil || s.fetch.peer.ID != id {
		return nil
	}
	s.fetch = fetch{}
	return s.startFetch(now)
}

// Tick offers the head to more peers, and retries a fetch that has timed out.
func (s *Spreader) Tick(now time.Time) []OutgoingFrame {
	if s.fetch.peer != nil && now.Sub(s.fetch.startedAt) >= fetchTimeout {
		s.fetch.peer.failedAt = now
		s.fetch = fetch{}
	}
	return append(s.offerHead(now), s.startFetch(now)...)
}

// Handle processes a frame from the peer with the given ID. Frames other than
// HeadOffer, HeadFetch and HeadText, and frames from unknown peers, are ignored.
func (s *Spreader) Handle(now time.Time, id string, frame *wire.Frame) []OutgoingFrame {
	from := s.findPeer(id)
	if from == nil {
		return nil
	}
	switch body := frame.Body.(type) {
	case *wire.Frame_HeadOffer:
		return s.handleOffer(now, from, currantwood.Revision(body.HeadOffer.Revision))
	case *wire.Frame_HeadFetch:
		return []OutgoingFrame{s.answerFetch(now, from, currantwood.Revision(body.HeadFetch.Have))}
	case *wire.Frame_HeadText:
		return s.handleText(now, from, body.HeadText)
	}
	return nil
}

func (s *Spreader) findPeer(id string) *peer {
	for _, p := range s.peers {
		if p.ID == id {
			return p
		}
	}
	return nil
}

func (s *Spreader) handleOffer(now time.Time, from *peer, revision currantwood.Revision) []OutgoingFrame {
	s.recordRevision(now, from, revision)
	return s.startFetch(now)
}

// recordRevision updates knownRevision and aheadSince of a peer.
func (s *Spreader) recordRevision(now time.Time, from *peer, revision currantwood.Revision) {
	if from.knownRevision <= s.snapshot.Head.Revision {
		from.aheadSince = now
	}
	from.knownRevision = max(from.knownRevision, revision)
}

// handleText adopts a head from a peer if its revision is higher and its text is
// intact. If the text is not intact, the next fetch from the peer requests the full
// text; after a second failure in a row the peer is skipped for fetchTimeout.
func (s *Spreader) handleText(now time.Time, from *peer, text *wire.HeadText) []OutgoingFrame {
	if s.fetch.peer == from {
		s.fetch = fetch{}
	}
	revision := currantwood.Revision(text.Revision)
	if revision <= s.snapshot.Head.Revision {
		return s.startFetch(now)
	}
	full, ok := s.fullText(text)
	if !ok {
		if from.textUnusable {
			from.failedAt = now
		}
		from.textUnusable = true
		return s.startFetch(now)
	}
	from.textUnusable = false
	s.recordRevision(now, from, revision)
	return s.Adopt(now, headkeeper.Snapshot{
		Head: currantwood.RulesHead{
			Revision:    revision,
			Publication: currantwood.PublicationID(text.Publication),
			Text:        full,
		},
		PublishedBy: text.PublishedBy,
		Next:        currantwood.Offset(text.NextOffset),
	})
}

// fullText returns the full text of a head, applying the diff if text holds one.
// It returns false if the diff does not apply or the hash does not match.
func (s *Spreader) fullText(text *wire.HeadText) (string, bool) {
	full := text.Text
	if text.DiffBase != 0 {
		if currantwood.Revision(text.DiffBase) != s.snapshot.Head.Revision {
			return "", false
		}
		applied, err := differ.Apply(s.snapshot.Head.Text, text.Text)
		if err != nil {
			return "", false
		}
		full = applied
	}
	return full, xxhash.Sum64String(full) == text.TextHash
}

// answerFetch returns the head for a peer that has the revision have, as a diff
// if one can be made and is shorter than the text. A peer that is up to date gets
// an offer instead.
func (s *Spreader) answerFetch(now time.Time, to *peer, have currantwood.Revision) OutgoingFrame {
	head := s.snapshot.Head
	if have >= head.Revision {
		return s.offerTo(now, to)
	}
	text := &wire.HeadText{
		Revision:    uint64(head.Revision),
		Publication: string(head.Publication),
		Text:        head.Text,
		TextHash:    xxhash.Sum64String(head.Text),
		NextOffset:  uint64(s.snapshot.Next),
		PublishedBy: s.snapshot.PublishedBy,
	}
	if diff, ok := s.diffFrom(have); ok && len(diff) < len(head.Text) {
		text.Text, text.DiffBase = diff, uint64(have)
	}
	return OutgoingFrame{PeerID: to.ID, Frame: &wire.Frame{Body: &wire.Frame_HeadText{HeadText: text}}}
}

// diffFrom returns the diff from the given revision to the current head, and
// false if that revision is no longer in history.
func (s *Spreader) diffFrom(base currantwood.Revision) (string, bool) {
	if diff, ok := s.diffs[base]; ok {
		return diff, true
	}
	for _, former := range s.history {
		if former.Revision == base {
			diff := differ.Encode(former.Text, s.snapshot.Head.Text)
			s.diffs[base] = diff
			return diff, true
		}
	}
	return "", false
}
