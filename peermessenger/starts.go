package peermessenger

import (
	"context"
	"slices"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/peerkeeper"
	"github.com/currantwood/currantwood/peerwire"
	"github.com/currantwood/currantwood/streamkeeper"
)

const (
	// maxStarts bounds the starts of streams in one datagram. One takes about 35 bytes.
	maxStarts = 64
	// maxQuestions bounds the streams that are asked about at a time. Any client can make
	// up attempts, and each question is several datagrams.
	maxQuestions = 256
	// maxAsked bounds the gateways that are asked where a stream began.
	maxAsked = 16
	// askInterval is the time after which they are asked again, as datagrams are lost,
	// and askTimeout that after which the stream counts as unknown.
	askInterval = 60 * time.Millisecond
	askTimeout  = 200 * time.Millisecond
)

func encodeStart(now time.Time, s streamkeeper.Start) *peerwire.Start {
	return &peerwire.Start{Stream: uint64(s.Stream), Group: string(s.Group), Version: string(s.Version), AgeMs: now.Sub(s.At).Milliseconds()}
}

func encodeStarts(now time.Time, starts []streamkeeper.Start) []*peerwire.Start {
	out := make([]*peerwire.Start, 0, len(starts))
	for _, s := range starts {
		out = append(out, encodeStart(now, s))
	}
	return out
}

func decodeStarts(now time.Time, starts []*peerwire.Start) []streamkeeper.Start {
	out := make([]streamkeeper.Start, 0, len(starts))
	for _, s := range starts {
		out = append(out, streamkeeper.Start{
			Stream: currantwood.Fingerprint(s.GetStream()),
			Origin: streamkeeper.Origin{Group: currantwood.GroupID(s.GetGroup()), Version: currantwood.SoftwareVersion(s.GetVersion())},
			At:     now.Add(-time.Duration(s.GetAgeMs()) * time.Millisecond),
		})
	}
	return out
}

// addStartsToState adds the starts of this gateway that the collector may lack. Called
// with mu held.
func (m *Messenger) addStartsToState(now time.Time, collector currantwood.VMID, state *peerwire.State) {
	state.TakesStarts = true
	of := m.peers.StartsReceived(collector, peerkeeper.AllStarts)
	state.StartsProcess, state.StartsKnown = of.Process, of.Next
	known, takes := m.peers.StartsAcknowledged(collector, peerkeeper.OwnStarts, m.process)
	if !takes {
		return
	}
	starts, first := m.Gateway.OwnStarts(known, maxStarts)
	state.Starts, state.StartsFirst = encodeStarts(now, starts), first
}

// addStartsToDigest adds the starts that a gateway may lack. Called with mu held.
func (m *Messenger) addStartsToDigest(now time.Time, to currantwood.VMID, digest *peerwire.Digest) {
	digest.TakesStarts = true
	if of := m.peers.StartsReceived(to, peerkeeper.OwnStarts); of.Process == digest.GetEchoProcess() {
		digest.StartsKnown = of.Next
	}
	known, takes := m.peers.StartsAcknowledged(to, peerkeeper.AllStarts, m.process)
	if !takes {
		return
	}
	starts, first := m.Gateway.AllStarts(known, maxStarts)
	digest.Starts, digest.StartsFirst = encodeStarts(now, starts), first
}

// receiveStateStarts takes the starts of streams at the gateway that sent a state, and
// which of this one's it has.
func (m *Messenger) receiveStateStarts(now time.Time, from currantwood.VMID, process uint64, s *peerwire.State) {
	if !s.GetTakesStarts() {
		return
	}
	m.Gateway.LearnStarts(now, decodeStarts(now, s.GetStarts()))
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peers.NoteStartsReceived(from, peerkeeper.OwnStarts, peerkeeper.StartPosition{Process: process, Next: s.GetStartsFirst() + uint64(len(s.GetStarts()))})
	m.peers.SetStartsAcknowledged(from, peerkeeper.AllStarts, peerkeeper.StartPosition{Process: s.GetStartsProcess(), Next: s.GetStartsKnown()})
}

// receiveDigestStarts is receiveStateStarts for a digest, which has the starts that the
// collector knows.
func (m *Messenger) receiveDigestStarts(now time.Time, from currantwood.VMID, process uint64, d *peerwire.Digest) {
	if !d.GetTakesStarts() {
		return
	}
	m.Gateway.LearnStarts(now, decodeStarts(now, d.GetStarts()))
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peers.NoteStartsReceived(from, peerkeeper.AllStarts, peerkeeper.StartPosition{Process: process, Next: d.GetStartsFirst() + uint64(len(d.GetStarts()))})
	m.peers.SetStartsAcknowledged(from, peerkeeper.OwnStarts, peerkeeper.StartPosition{Process: d.GetEchoProcess(), Next: d.GetStartsKnown()})
}

// AskStart asks other gateways where a stream began, and returns false if none of them
// says so in time.
func (m *Messenger) AskStart(ctx context.Context, stream currantwood.Fingerprint) (streamkeeper.Origin, bool) {
	answers := make(chan streamkeeper.Origin, 4*maxAsked)
	if !m.addQuestion(stream, answers) {
		return streamkeeper.Origin{}, false
	}
	defer m.forgetQuestion(stream, answers)
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	for {
		origin, known, over := awaitAnswer(ctx, answers, m.sendQuestion(stream))
		if over {
			return origin, known
		}
	}
}

// sendQuestion asks the gateways that were heard of, and the contacts, as a process that has
// just started may have heard nobody. It returns how many it asked.
func (m *Messenger) sendQuestion(stream currantwood.Fingerprint) int {
	m.mu.Lock()
	asked := m.contacts.All(m.Now())
	for _, peer := range m.peers.Known(maxAsked) {
		asked = append(asked, peer.Address)
	}
	m.mu.Unlock()
	slices.Sort(asked)
	asked = slices.Compact(asked)
	for _, address := range asked {
		m.send(address, &peerwire.Datagram{Body: &peerwire.Datagram_StartQuestion{StartQuestion: &peerwire.StartQuestion{Stream: uint64(stream)}}})
	}
	return len(asked)
}

// awaitAnswer waits for answers until it is time to ask again. over is true once one of
// them knows, all gateways asked have said that they don't, or ctx is done.
func awaitAnswer(ctx context.Context, answers <-chan streamkeeper.Origin, asked int) (origin streamkeeper.Origin, known, over bool) {
	again := time.NewTimer(askInterval)
	defer again.Stop()
	for unknown := 0; unknown < asked; {
		select {
		case origin = <-answers:
			if origin.Version != "" {
				return origin, true, true
			}
			unknown++
		case <-again.C:
			return streamkeeper.Origin{}, false, false
		case <-ctx.Done():
			return streamkeeper.Origin{}, false, true
		}
	}
	return streamkeeper.Origin{}, false, true
}

// addQuestion notes who waits for answers about a stream. It returns false if too many
// streams are asked about already.
func (m *Messenger) addQuestion(stream currantwood.Fingerprint, answers chan streamkeeper.Origin) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.questions) >= maxQuestions {
		return false
	}
	m.questions[stream] = append(m.questions[stream], answers)
	return true
}

// forgetQuestion notes that nobody waits on answers any more.
func (m *Messenger) forgetQuestion(stream currantwood.Fingerprint, answers chan streamkeeper.Origin) {
	m.mu.Lock()
	defer m.mu.Unlock()
	rest := slices.DeleteFunc(m.questions[stream], func(c chan streamkeeper.Origin) bool { return c == answers })
	if len(rest) == 0 {
		delete(m.questions, stream)
		return
	}
	m.questions[stream] = rest
}

// receiveQuestion answers where a stream began, as far as this gateway knows.
func (m *Messenger) receiveQuestion(now time.Time, from peerkeeper.Peer, q *peerwire.StartQuestion) {
	stream := currantwood.Fingerprint(q.GetStream())
	origin, _ := m.Gateway.StartOf(stream)
	start := encodeStart(now, streamkeeper.Start{Stream: stream, Origin: origin, At: now})
	m.send(from.Address, &peerwire.Datagram{Body: &peerwire.Datagram_StartAnswer{StartAnswer: &peerwire.StartAnswer{Start: start}}})
}

// receiveAnswer passes an answer on to those who wait for it. One that comes when their
// buffer is full is dropped.
func (m *Messenger) receiveAnswer(now time.Time, a *peerwire.StartAnswer) {
	start := decodeStarts(now, []*peerwire.Start{a.GetStart()})[0]
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, answers := range m.questions[start.Stream] {
		select {
		case answers <- start.Origin:
		default:
		}
	}
}
