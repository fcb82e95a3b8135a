// Package holder decides how a side process handles one generation: which tokens
// it keeps, sends and resends, when it reads from the engine, and when it abandons
// the generation. It performs no I/O.
//
// The side keeps only the tokens that the entry has not acknowledged. The entry
// acknowledges tokens once it has written them to the caller or, if the response
// isn't streamed, has received them. The engine keeps all tokens of a stream, so for
// a resume below the kept tokens they are read from the engine again.
package holder

import (
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/wire"
)

// Options are the limits of one generation.
type Options struct {
	// Window limits the number of unacknowledged tokens that are kept; at least 1.
	// When it is full, the side stops reading. This doesn't slow the engine down,
	// which keeps the tokens: the run ends, and its memory is freed, as early as
	// possible.
	Window int
	// GracePeriod is how long a generation without a reader is kept; > 0.
	GracePeriod time.Duration
	// ReopenInterval is the time between two attempts to reopen an interrupted
	// stream; > 0.
	ReopenInterval time.Duration
	// LostAfter is how long attempts to reopen an interrupted stream continue before
	// the generation is lost; > 0. A stream that stays open for that long counts
	// as recovered even without a token.
	LostAfter time.Duration
	// RetryAfter is the retry delay stated to a caller whose generation was lost.
	RetryAfter time.Duration
}

// Actions is what the side must do after an event. The zero value requests nothing.
type Actions struct {
	// FramesReady is whether there are frames for the entry that reads the
	// generation. TakeFrames returns them, with those added until it is called.
	FramesReady bool
	// Reopen is whether to reopen the engine's stream at index ReopenFrom, after
	// closing it if it is open.
	Reopen     bool
	ReopenFrom currantwood.TokenIndex
	// Cancel is whether to cancel the stream at the engine.
	Cancel bool
	// Forget is whether to discard the state of the generation.
	Forget bool
}

// Holder is the state of one generation in a side process. It is not safe for
// concurrent use.
type Holder struct {
	opts       Options
	request    currantwood.RequestID
	generation currantwood.GenerationID
	// acked is the index of unacked[0]. The entry has acknowledged all tokens below
	// it, with an Ack or by a Resume from there.
	acked currantwood.TokenIndex
	// sent is the index of the next token to send; acked <= sent <= NextIndex().
	sent currantwood.TokenIndex
	// unacked holds the texts of the tokens from acked to below NextIndex().
	unacked []string
	// final is set once the generation has ended; it is sent after all tokens.
	final     *wire.Final
	finalSent bool
	// replyDue is whether to send a frame even without tokens, which shows a resuming
	// entry that the side is alive.
	replyDue bool
	// attached is whether an entry reads the generation.
	attached   bool
	detachedAt time.Time
	// streamOpen is whether the engine's stream is open.
	streamOpen bool
	// openedAt is when the stream was last opened.
	openedAt time.Time
	// interruptedSince is the time of the first interruption after which the stream
	// has neither delivered a token nor stayed open for LostAfter; zero if none.
	interruptedSince time.Time
	// reopenAt is when the next attempt to reopen is due; zero if none is.
	reopenAt time.Time
	// forgotten is whether Actions.Forget has been returned.
	forgotten bool
}

// New returns the state of a generation that an entry reads from index from on.
// The engine's stream counts as open from now, even if the side opens it later.
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
		streamOpen: true,
		openedAt:   now,
	}
}

// Generation returns the ID of the generation.
func (h *Holder) Generation() currantwood.GenerationID { return h.generation }

// NextIndex returns the index of the next token to read from the engine, which is
// the number of tokens before it.
func (h *Holder) NextIndex() currantwood.TokenIndex {
	return h.acked + currantwood.TokenIndex(len(h.unacked))
}

// CanRead reports whether the side may read another event from the engine.
func (h *Holder) CanRead() bool {
	return h.final == nil && h.streamOpen && len(h.unacked) < h.opts.Window
}

// Ended reports whether the generation has ended. Its last frames may still be
// unsent.
func (h *Holder) Ended() bool { return h.final != nil }

// Event handles an event of the engine's stream. Repeated tokens are ignored; a gap
// in the indexes counts as an interruption.
func (h *Holder) Event(now time.Time, event currantwood.TokenEvent) Actions {
	if h.final != nil || h.forgotten {
		return Actions{}
	}
	next := h.NextIndex()
	if event.Index > next {
		return h.Interrupted(now)
	}
	if event.Kind == currantwood.EventDone {
		return h.complete(event)
	}
	if event.Index < next {
		return Actions{}
	}
	h.unacked = append(h.unacked, event.Text)
	h.interruptedSince = time.Time{}
	return h.framesReady()
}

// complete ends the generation. If the engine counts fewer tokens than it sent,
// they did not all come from one run, so the generation is lost.
func (h *Holder) complete(event currantwood.TokenEvent) Actions {
	if event.Index < h.NextIndex() {
		return h.Lost("the engine counted fewer tokens than it sent")
	}
	h.final = &wire.Final{
		RequestId:    string(h.request),
		GenerationId: string(h.generation),
		TokenCount:   uint64(event.Index),
		Complete:     true,
		FinishReason: event.FinishReason,
	}
	return h.framesReady()
}

// Interrupted records that the engine's stream ended without its last event, or
// could not be opened. The first attempt to reopen it is due at once. If it is
// interrupted repeatedly, without a token in between and without staying open for
// LostAfter, the generation is lost after LostAfter.
func (h *Holder) Interrupted(now time.Time) Actions {
	if h.final != nil || h.forgotten {
		return Actions{}
	}
	wasStable := h.streamOpen && now.Sub(h.openedAt) >= h.opts.LostAfter
	h.streamOpen = false
	if h.interruptedSince.IsZero() || wasStable {
		h.interruptedSince = now
		return Actions{Reopen: true, ReopenFrom: h.NextIndex()}
	}
	if now.Sub(h.interruptedSince) >= h.opts.LostAfter {
		return h.Lost("the engine was not reached again")
	}
	h.reopenAt = now.Add(h.opts.ReopenInterval)
	return Actions{}
}

// Opened records that the engine's stream is open.
func (h *Holder) Opened(now time.Time) {
	h.streamOpen = true
	h.openedAt = now
	h.reopenAt = time.Time{}
}

// Lost ends a generation that the engine cannot continue.
func (h *Holder) Lost(detail string) Actions {
	ran := currantwood.RanUnknown
	if h.NextIndex() > 0 {
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

// Refuse ends the generation with a refusal. Unsent tokens are sent first.
func (h *Holder) Refuse(refusal *currantwood.Refusal) Actions {
	if h.final != nil || h.forgotten {
		return Actions{}
	}
	h.final = &wire.Final{
		RequestId:    string(h.request),
		GenerationId: string(h.generation),
		Refusal:      wire.FromRefusal(refusal),
	}
	return h.framesReady()
}

// Ack records that the entry has acknowledged all tokens below next. Once the final
// frame is sent and all tokens are acknowledged, the state is discarded. No cancel is
// requested, since the engine releases a complete stream by itself; after a refusal
// none is requested either.
func (h *Holder) Ack(next currantwood.TokenIndex) Actions {
	if next > h.sent || h.forgotten {
		return Actions{}
	}
	if next > h.acked {
		h.discardBelow(next)
	}
	if h.finalSent && h.acked == h.sent {
		return h.forget(false)
	}
	return Actions{}
}

// Resume attaches a reader and sends it the tokens from next on. Tokens that are no
// longer kept are read from the engine again. If next is above what has been read,
// sending continues with the next token read. A reader that has everything so far
// is sent an empty frame, so that it knows that the side is alive.
func (h *Holder) Resume(next currantwood.TokenIndex) Actions {
	if h.forgotten {
		return Actions{}
	}
	h.attached = true
	h.finalSent = false
	h.replyDue = true
	next = min(next, h.NextIndex())
	if next < h.acked {
		return h.rewind(next)
	}
	h.discardBelow(next)
	h.sent = next
	return h.framesReady()
}

// Detach records that the reader is gone: the link closed, the entry ended or the
// caller disconnected. A resume within the grace period continues the generation.
func (h *Holder) Detach(now time.Time) {
	if h.attached {
		h.attached = false
		h.detachedAt = now
	}
}

// Cancel abandons the generation immediately.
func (h *Holder) Cancel() Actions {
	if h.forgotten {
		return Actions{}
	}
	return h.forget(h.final == nil)
}

// Tick handles what is due by now: the end of the grace period, or an attempt to
// reopen the stream.
func (h *Holder) Tick(now time.Time) Actions {
	if h.forgotten {
		return Actions{}
	}
	if !h.attached && now.Sub(h.detachedAt) >= h.opts.GracePeriod {
		return h.forget(h.final == nil)
	}
	if h.final == nil && !h.reopenAt.IsZero() && !now.Before(h.reopenAt) {
		h.reopenAt = time.Time{}
		return Actions{Reopen: true, ReopenFrom: h.NextIndex()}
	}
	return Actions{}
}

func (h *Holder) forget(cancel bool) Actions {
	h.forgotten = true
	h.unacked = nil
	return Actions{Cancel: cancel, Forget: true}
}

// discardBelow discards the tokens below next; acked <= next <= NextIndex().
func (h *Holder) discardBelow(next currantwood.TokenIndex) {
	count := int(next - h.acked)
	clear(h.unacked[:count])
	h.unacked = h.unacked[count:]
	if len(h.unacked) == 0 {
		h.unacked = nil
	}
	h.acked = next
	h.sent = max(h.sent, next)
}

// rewind goes back to an index whose token is no longer kept, and asks to reopen
// the stream there. It deletes the final frame, even a refusal, since the end of the
// stream will be read again.
func (h *Holder) rewind(next currantwood.TokenIndex) Actions {
	h.acked = next
	h.sent = next
	h.unacked = nil
	h.final = nil
	h.streamOpen = false
	return Actions{Reopen: true, ReopenFrom: next, FramesReady: true}
}

// framesReady returns Actions that ask for TakeFrames if it would return frames.
func (h *Holder) framesReady() Actions {
	unsent := h.replyDue || h.sent < h.NextIndex() || h.final != nil && !h.finalSent
	return Actions{FramesReady: h.attached && unsent}
}

// TakeFrames returns the frames that the attached entry has not been sent, in
// order, and counts them as sent.
func (h *Holder) TakeFrames() []*wire.Frame {
	if !h.attached || h.forgotten {
		return nil
	}
	var frames []*wire.Frame
	if h.replyDue || h.sent < h.NextIndex() {
		frames = append(frames, h.tokensFrame())
		h.sent = h.NextIndex()
		h.replyDue = false
	}
	if h.final != nil && !h.finalSent {
		frames = append(frames, &wire.Frame{Body: &wire.Frame_Final{Final: h.final}})
		h.finalSent = true
	}
	return frames
}

func (h *Holder) tokensFrame() *wire.Frame {
	texts := append([]string(nil), h.unacked[h.sent-h.acked:]...)
	return &wire.Frame{Body: &wire.Frame_Tokens{Tokens: &wire.Tokens{
		RequestId:    string(h.request),
		GenerationId: string(h.generation),
		FirstIndex:   uint64(h.sent),
		Texts:        texts,
	}}}
}
