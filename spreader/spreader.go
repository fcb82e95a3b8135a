// Package spreader hands the head of the rules from process to process. It is
// a pure core: the shell tells it of peers, frames and time, and sends what it
// returns. Each process offers a new head to its peers by its revision, a few
// at a time; who lacks it fetches it once, from its own region where it can,
// and offers it on.
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
	// TickInterval is how often the shell calls Tick.
	TickInterval = 50 * time.Millisecond
	// fanOut is the number of peers that are offered a head in one tick, so
	// that they do not all fetch from this process at once.
	fanOut = 16
	// fetchTimeout is how long a peer may take to answer a fetch.
	fetchTimeout = 500 * time.Millisecond
	// remoteDelay is how long an offer from another region waits for one from
	// this region, since bytes between regions are paid for.
	remoteDelay = 200 * time.Millisecond
	// offerAgain is when an offer that a peer did not follow is repeated.
	offerAgain = 2 * time.Second
	// maxHistory is the number of former texts kept to make differences.
	maxHistory = 8
)

// Peer is one live link.
type Peer struct {
	// ID is the shell's name of the link.
	ID     string
	Region currantwood.RegionID
}

// Send is one frame to send to a peer.
type Send struct {
	Peer  string
	Frame *wire.Frame
}

// Options says where the process runs.
type Options struct {
	Region currantwood.RegionID
	// Random orders the peers; it is seeded by the shell.
	Random *rand.Rand
}

// peer is what is known of one link.
type peer struct {
	Peer
	// known is the revision that the peer last said it has.
	known currantwood.Revision
	// knownAt is since when that is more than this process has.
	knownAt time.Time
	// offered is the revision last offered to the peer.
	offered   currantwood.Revision
	offeredAt time.Time
	// failedAt is when a fetch from the peer last failed.
	failedAt time.Time
	// whole says that a difference from the peer did not fit.
	whole bool
}

// fetch is the one fetch on its way.
type fetch struct {
	// peer is nil when there is none.
	peer *peer
	at   time.Time
}

// Spreader is the core of one process. It is not safe for concurrent use.
type Spreader struct {
	options Options
	anchor  headkeeper.Anchor
	// history has former heads, the newest last.
	history []currantwood.RulesHead
	// differences are those made to the present head, by base.
	differences map[currantwood.Revision]string
	// peers are in a random order.
	peers []*peer
	fetch fetch
}

// New returns a spreader without a head.
func New(options Options) *Spreader {
	return &Spreader{options: options, differences: make(map[currantwood.Revision]string)}
}

// Anchor returns the head and the records that it accounts for.
func (s *Spreader) Anchor() headkeeper.Anchor {
	return s.anchor
}

// Adopt takes a head from the log and offers it on. A revision that is not
// higher is ignored.
func (s *Spreader) Adopt(now time.Time, anchor headkeeper.Anchor) []Send {
	if anchor.Head.Revision <= s.anchor.Head.Revision {
		return nil
	}
	if s.anchor.Head.Revision > 0 {
		s.history = append(s.history, s.anchor.Head)
	}
	if len(s.history) > maxHistory {
		s.history = s.history[1:]
	}
	s.anchor = anchor
	clear(s.differences)
	return append(s.offer(now), s.fetchNext(now)...)
}

// PeerUp takes in a new link and offers it the head at once.
func (s *Spreader) PeerUp(now time.Time, p Peer) []Send {
	at := s.options.Random.IntN(len(s.peers) + 1)
	added := &peer{Peer: p}
	s.peers = slices.Insert(s.peers, at, added)
	if s.anchor.Head.Revision == 0 {
		return nil
	}
	return []Send{s.offerTo(now, added)}
}

// PeerDown forgets a link. What was being fetched over it is fetched elsewhere.
func (s *Spreader) PeerDown(now time.Time, id string) []Send {
	s.peers = slices.DeleteFunc(s.peers, func(p *peer) bool { return p.ID == id })
	if s.fetch.peer == nil || s.fetch.peer.ID != id {
		return nil
	}
	s.fetch = fetch{}
	return s.fetchNext(now)
}

// Tick offers the head to further peers and fetches again what did not come.
func (s *Spreader) Tick(now time.Time) []Send {
	if s.fetch.peer != nil && now.Sub(s.fetch.at) >= fetchTimeout {
		s.fetch.peer.failedAt = now
		s.fetch = fetch{}
	}
	return append(s.offer(now), s.fetchNext(now)...)
}

// Handle takes in a frame. Frames of other kinds and of unknown peers are
// ignored.
func (s *Spreader) Handle(now time.Time, id string, frame *wire.Frame) []Send {
	from := s.find(id)
	if from == nil {
		return nil
	}
	switch body := frame.Body.(type) {
	case *wire.Frame_HeadOffer:
		return s.handleOffer(now, from, currantwood.Revision(body.HeadOffer.Revision))
	case *wire.Frame_HeadFetch:
		return []Send{s.answer(now, from, currantwood.Revision(body.HeadFetch.Have))}
	case *wire.Frame_HeadText:
		return s.handleText(now, from, body.HeadText)
	}
	return nil
}

func (s *Spreader) find(id string) *peer {
	for _, p := range s.peers {
		if p.ID == id {
			return p
		}
	}
	return nil
}

func (s *Spreader) handleOffer(now time.Time, from *peer, revision currantwood.Revision) []Send {
	s.learn(now, from, revision)
	return s.fetchNext(now)
}

// learn notes what a peer has, and since when that is more than here.
func (s *Spreader) learn(now time.Time, from *peer, revision currantwood.Revision) {
	if from.known <= s.anchor.Head.Revision {
		from.knownAt = now
	}
	from.known = max(from.known, revision)
}

// handleText takes a head from a peer, unless it is not higher or damaged.
func (s *Spreader) handleText(now time.Time, from *peer, text *wire.HeadText) []Send {
	if s.fetch.peer == from {
		s.fetch = fetch{}
	}
	revision := currantwood.Revision(text.Revision)
	if revision <= s.anchor.Head.Revision {
		return s.fetchNext(now)
	}
	whole, ok := s.restore(text)
	if !ok {
		if from.whole {
			from.failedAt = now
		}
		from.whole = true
		return s.fetchNext(now)
	}
	from.whole = false
	s.learn(now, from, revision)
	return s.Adopt(now, headkeeper.Anchor{
		Head: currantwood.RulesHead{
			Revision:    revision,
			Publication: currantwood.PublicationID(text.Publication),
			Text:        whole,
		},
		PublishedBy: text.PublishedBy,
		Next:        currantwood.Offset(text.NextOffset),
	})
}

// restore returns the whole text, and false where it does not come out as its
// sender had it.
func (s *Spreader) restore(text *wire.HeadText) (string, bool) {
	whole := text.Text
	if text.DiffBase != 0 {
		if currantwood.Revision(text.DiffBase) != s.anchor.Head.Revision {
			return "", false
		}
		applied, err := differ.Apply(s.anchor.Head.Text, text.Text)
		if err != nil {
			return "", false
		}
		whole = applied
	}
	return whole, xxhash.Sum64String(whole) == text.TextHash
}

// answer sends the head to a peer that fetches, as a difference where that is
// possible and shorter.
func (s *Spreader) answer(now time.Time, to *peer, have currantwood.Revision) Send {
	head := s.anchor.Head
	if have >= head.Revision {
		return s.offerTo(now, to)
	}
	text := &wire.HeadText{
		Revision:    uint64(head.Revision),
		Publication: string(head.Publication),
		Text:        head.Text,
		TextHash:    xxhash.Sum64String(head.Text),
		NextOffset:  uint64(s.anchor.Next),
		PublishedBy: s.anchor.PublishedBy,
	}
	if difference, ok := s.difference(have); ok && len(difference) < len(head.Text) {
		text.Text, text.DiffBase = difference, uint64(have)
	}
	return Send{Peer: to.ID, Frame: &wire.Frame{Body: &wire.Frame_HeadText{HeadText: text}}}
}

func (s *Spreader) difference(base currantwood.Revision) (string, bool) {
	if made, ok := s.differences[base]; ok {
		return made, true
	}
	for _, former := range s.history {
		if former.Revision == base {
			made := differ.Encode(former.Text, s.anchor.Head.Text)
			s.differences[base] = made
			return made, true
		}
	}
	return "", false
}
