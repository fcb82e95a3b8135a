// Package holder decides what a side does with one generation: which tokens it
// keeps, sends and sends again, when it reads from the engine, and when it
// gives the generation up. It does no input or output.
//
// The side keeps only the tokens that the entry has not acknowledged. The
// engine keeps all tokens of a stream, so a resume from an older index reads
// them from there again.
package holder

import (
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/wire"
)

// Options are the limits of one generation.
type Options struct {
	// Window bounds the tokens that are kept; at least 1. When it is full the
	// side stops reading: the engine runs on and keeps its tokens, so that its
	// memory is free at the earliest time.
	Window int
	// Grace is how long a generation without a reader is kept; > 0.
	Grace time.Duration
	// ReopenEvery is the pause between two tries to reopen a cut stream; > 0.
	ReopenEvery time.Duration
	// LostAfter is how long a cut stream is tried again; > 0.
	LostAfter time.Duration
	// RetryAfter is told to a caller whose generation was lost.
	RetryAfter time.Duration
}

// Actions is what the side has to do after an event. The zero value asks for
// nothing.
type Actions struct {
	// Ready says that there are frames for the entry that reads the
	// generation; Take returns them. What comes until then is taken together.
	Ready bool
	// Reopen asks for the stream to be opened at the engine again, from index
	// From. An open stream is closed first.
	Reopen bool
	From   currantwood.TokenIndex
	// Cancel asks for the stream to be cancelled at the engine.
	Cancel bool
	// Forget says that the generation needs no state any more.
	Forget bool
}

// Holder is the state of one generation at its side. It is not safe for
// concurrent use.
type Holder struct {
	opts       Options
	request    currantwood.RequestID
	generation currantwood.GenerationID
	// acked is the index of kept[0]: the entry has all tokens below it.
	acked currantwood.TokenIndex
	// sent is the index of the next token to send; acked <= sent <= read.
	sent currantwood.TokenIndex
	// kept are the tokens from acked up to read.
	kept []string
	// final is set once the generation is over; it is sent after all tokens.
	final     *wire.Final
	finalSent bool
	// answer asks for a frame even without tokens: the entry wants to know
	// that the side lives.
	answer bool
	// attached says that an entry reads the generation.
	attached   bool
	detachedAt time.Time
	// open says that the engine's stream is being read.
	open bool
	// openedAt is when the stream was last opened.
	openedAt time.Time
	// cutAt is when the stream was first cut without lasting since; zero while
	// it lasts.
	cutAt time.Time
	// reopenAt is when the next try to reopen is due; zero when none is.
	reopenAt time.Time
	// forgotten says that Forget was returned.
	forgotten bool
}

// New makes the state of a generation that an entry reads from the given
// index on. The engine's stream counts as open from now.
func New(
	now time.Time, request currantwood.RequestID, generation currantwood.GenerationID,
	from currantwood.TokenIndex, opts Options,
) *Holder {
	return &Holder{
		opts:       opts,
		request:    request,
		generation: generation,
		acked:      from,
		sent:       from,
		attached:   true,
		open:       true,
		openedAt:   now,
	}
}

// Generation is the one generation that is held.
func (h *Holder) Generation() currantwood.GenerationID { return h.generation }

// Produced is the number of tokens read from the engine.
func (h *Holder) Produced() currantwood.TokenIndex {
	return h.acked + currantwood.TokenIndex(len(h.kept))
}

// Reading says whether the side may read another event from the engine.
func (h *Holder) Reading() bool {
	return h.final == nil && h.open && len(h.kept) < h.opts.Window
}

// Ended says that the engine has nothing more to send.
func (h *Holder) Ended() bool { return h.final != nil }

// Event takes an event of the engine's stream.
func (h *Holder) Event(now time.Time, event currantwood.TokenEvent) Actions {
	if h.final != nil || h.forgotten {
		return Actions{}
	}
	read := h.Produced()
	if event.Index > read {
		return h.Cut(now)
	}
	if event.Kind == currantwood.EventDone {
		return h.done(event)
	}
	if event.Index < read {
		return Actions{}
	}
	h.kept = append(h.kept, event.Text)
	h.cutAt = time.Time{}
	return h.ready()
}

// done ends the generation. An engine that counts fewer tokens than it sent
// has not run one single generation.
func (h *Holder) done(event currantwood.TokenEvent) Actions {
	if event.Index < h.Produced() {
		return h.Lost("the engine counted fewer tokens than it sent")
	}
	h.final = &wire.Final{
		RequestId:    string(h.request),
		GenerationId: string(h.generation),
		TokenCount:   uint64(event.Index),
		Complete:     true,
		FinishReason: event.FinishReason,
	}
	return h.ready()
}

// Cut notes that the engine's stream ended without its last event, or could
// not be opened. The first try to reopen is due at once. A stream that is cut
// again and again without a token in between is lost in the end.
func (h *Holder) Cut(now time.Time) Actions {
	if h.final != nil || h.forgotten {
		return Actions{}
	}
	lasted := h.open && now.Sub(h.openedAt) >= h.opts.LostAfter
	h.open = false
	if h.cutAt.IsZero() || lasted {
		h.cutAt = now
		return Actions{Reopen: true, From: h.Produced()}
	}
	if now.Sub(h.cutAt) >= h.opts.LostAfter {
		return h.Lost("the engine was not reached again")
	}
	h.reopenAt = now.Add(h.opts.ReopenEvery)
	return Actions{}
}

// Reopened notes that the engine's stream is open again.
func (h *Holder) Reopened(now time.Time) {
	h.open = true
	h.openedAt = now
	h.reopenAt = time.Time{}
}

// Lost ends a generation that the engine can't go on with.
func (h *Holder) Lost(detail string) Actions {
	ran := currantwood.RanUnknown
	if h.Produced() > 0 {
		ran = currantwood.RanDone
	}
	return h.Refuse(&currantwood.Refusal{
		Kind:       currantwood.KindGenerationLost,
		Ran:        ran,
		RetryAfter: h.opts.RetryAfter,
		Step:       "holder",
		Detail:     detail,
	})
}

// Refuse ends the generation with a refusal. Tokens that wait are sent first.
func (h *Holder) Refuse(refusal *currantwood.Refusal) Actions {
	if h.final != nil || h.forgotten {
		return Actions{}
	}
	h.final = &wire.Final{
		RequestId:    string(h.request),
		GenerationId: string(h.generation),
		Refusal:      wire.FromRefusal(refusal),
	}
	return h.ready()
}

// Ack notes that the caller has all tokens below next. The last one ends the
// side's part; the engine lets the stream go by itself.
func (h *Holder) Ack(next currantwood.TokenIndex) Actions {
	if next > h.sent || h.forgotten {
		return Actions{}
	}
	if next > h.acked {
		h.drop(next)
	}
	if h.finalSent && h.acked == h.sent {
		return h.forget(false)
	}
	return Actions{}
}

// Resume sends again from the given index to the entry that asked. An index
// below what is kept is read from the engine again; one above what was read so
// far is met while that goes on. An entry that has
// everything so far is sent an empty frame, so that it knows the side lives.
func (h *Holder) Resume(next currantwood.TokenIndex) Actions {
	if h.forgotten {
		return Actions{}
	}
	h.attached = true
	h.finalSent = false
	h.answer = true
	next = min(next, h.Produced())
	if next < h.acked {
		return h.rewind(next)
	}
	h.drop(next)
	h.sent = next
	return h.ready()
}

// Detach notes that nobody reads any more: the link or the entry is gone, or
// the caller left. Within the grace time a resume goes on.
func (h *Holder) Detach(now time.Time) {
	if h.attached {
		h.attached = false
		h.detachedAt = now
	}
}

// Cancel gives the generation up at once.
func (h *Holder) Cancel() Actions {
	if h.forgotten {
		return Actions{}
	}
	return h.forget(h.final == nil)
}

// Tick does what has become due by now.
func (h *Holder) Tick(now time.Time) Actions {
	if h.forgotten {
		return Actions{}
	}
	if !h.attached && now.Sub(h.detachedAt) >= h.opts.Grace {
		return h.forget(h.final == nil)
	}
	if h.final == nil && !h.reopenAt.IsZero() && !now.Before(h.reopenAt) {
		h.reopenAt = time.Time{}
		return Actions{Reopen: true, From: h.Produced()}
	}
	return Actions{}
}

func (h *Holder) forget(cancel bool) Actions {
	h.forgotten = true
	h.kept = nil
	return Actions{Cancel: cancel, Forget: true}
}

// drop lets go of the tokens below next; acked <= next <= Produced.
func (h *Holder) drop(next currantwood.TokenIndex) {
	count := int(next - h.acked)
	clear(h.kept[:count])
	h.kept = h.kept[count:]
	if len(h.kept) == 0 {
		h.kept = nil
	}
	h.acked = next
	h.sent = max(h.sent, next)
}

// rewind goes back to an index whose token is no longer kept.
func (h *Holder) rewind(next currantwood.TokenIndex) Actions {
	h.acked = next
	h.sent = next
	h.kept = nil
	h.final = nil
	h.open = false
	return Actions{Reopen: true, From: next, Ready: true}
}

// ready says whether Take has frames.
func (h *Holder) ready() Actions {
	unsent := h.answer || h.sent < h.Produced() || h.final != nil && !h.finalSent
	return Actions{Ready: h.attached && unsent}
}

// Take returns the frames that the attached entry has not been sent, in order.
func (h *Holder) Take() []*wire.Frame {
	if !h.attached || h.forgotten {
		return nil
	}
	var frames []*wire.Frame
	if h.answer || h.sent < h.Produced() {
		frames = append(frames, h.tokens())
		h.sent = h.Produced()
		h.answer = false
	}
	if h.final != nil && !h.finalSent {
		frames = append(frames, &wire.Frame{Body: &wire.Frame_Final{Final: h.final}})
		h.finalSent = true
	}
	return frames
}

func (h *Holder) tokens() *wire.Frame {
	texts := append([]string(nil), h.kept[h.sent-h.acked:]...)
	return &wire.Frame{Body: &wire.Frame_Tokens{Tokens: &wire.Tokens{
		RequestId:    string(h.request),
		GenerationId: string(h.generation),
		FirstIndex:   uint64(h.sent),
		Texts:        texts,
	}}}
}
