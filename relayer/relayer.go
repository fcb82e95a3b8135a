// Package relayer decides how an entry, the process that serves clients, handles the
// frames of one request that it receives from a side, the process beside one
// upstream: which tokens the entry forwards to the client, when it asks the side to
// resend, and how the request ends. It performs no I/O.
package relayer

import (
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/wire"
)

// Options are the limits and properties of one request.
type Options struct {
	// ResumeAfter is the time without a frame after which the side is asked to
	// resend; > 0.
	ResumeAfter time.Duration
	// LostAfter is the time without a frame after which the generation counts as
	// lost; > ResumeAfter. Requests to resend do not restart it. It allows for a
	// side that has to reconnect or to be replaced.
	LostAfter time.Duration
	// FirstTokenLostAfter replaces LostAfter until the first token arrives: another
	// upstream can serve the request sooner than a side that has to reconnect. It
	// is above ResumeAfter and at most LostAfter.
	FirstTokenLostAfter time.Duration
	// AckEvery is the number of tokens between two acknowledgements; at least 1 and
	// less than holder.Options.Window, the number of unacknowledged tokens that the
	// side keeps.
	AckEvery currantwood.TokenCount
	// RetryAfter is the retry delay in the refusals that the relayer creates. A
	// delay in the side's refusal of a lost generation takes precedence.
	RetryAfter time.Duration
	// RestartDeclared is whether the client declared that it handles restart
	// events, which invalidate the tokens that it has received.
	RestartDeclared bool
	// Buffered is whether the client gets a single response at the end, and no
	// token before it.
	Buffered bool
}

// Actions is what the entry must do after an event. The zero value requests
// nothing.
type Actions struct {
	// Deliver holds the texts of consecutive tokens for the client.
	Deliver []string
	// FirstIndex is the index of the first token in Deliver.
	FirstIndex currantwood.TokenIndex
	// Resume asks the side to resend from Resume.NextIndex on.
	Resume *wire.Resume
	// Complete is whether the generation has ended and all its tokens have been
	// delivered.
	Complete bool
	// FinishReason is set with Complete.
	FinishReason string
	// TokenSeconds is the engine memory that the generation held, taken from the
	// final frame.
	TokenSeconds currantwood.TokenSeconds
	// Refusal ends the generation. It is the final response unless a new generation
	// replaces this one.
	Refusal *currantwood.Refusal
	// Retryable is whether a new generation may replace the one that Refusal ends. A
	// client that has no token yet gets no restart event then.
	Retryable bool
}

// Relayer is the state of one request at its entry. It is not safe for
// concurrent use.
type Relayer struct {
	opts     Options
	request  currantwood.RequestID
	customer currantwood.CustomerID
	// generation is the current one; frames of any other are ignored.
	generation currantwood.GenerationID
	// next is the index of the next token for the client. It never decreases
	// within a generation.
	next currantwood.TokenIndex
	// acked is <= next. Tokens with a lower index need no acknowledgement: they
	// were acknowledged, or the generation was resumed after them.
	acked currantwood.TokenIndex
	// clientHasTokens is whether the client was given a token that no restart event
	// has since invalidated.
	clientHasTokens bool
	// ended is whether the current generation is over.
	ended bool
	// lastActivity is the time of the last frame of this generation, or the time
	// when it became the current one.
	lastActivity time.Time
	// lastResume is the time of the last request to resend; zero if there was none
	// since a new token, a new link or the start of the generation.
	lastResume time.Time
}

// New returns the state of a request that has no generation yet.
func New(request currantwood.RequestID, customer currantwood.CustomerID, opts Options) *Relayer {
	return &Relayer{opts: opts, request: request, customer: customer, ended: true}
}

// SetGeneration makes a generation the current one, with next as the index of the
// first token to deliver. It returns true if the client must first get a restart
// event.
func (r *Relayer) SetGeneration(now time.Time, generation currantwood.GenerationID, next currantwood.TokenIndex) bool {
	restart := r.clientHasTokens
	r.generation = generation
	r.next = next
	r.acked = next
	r.clientHasTokens = next > 0
	r.ended = false
	r.lastActivity = now
	r.lastResume = time.Time{}
	return restart
}

// Position returns the current generation and the index of the next token for
// the client.
func (r *Relayer) Position() (currantwood.GenerationID, currantwood.TokenIndex) {
	return r.generation, r.next
}

// ClientHasTokens reports whether the client has tokens of the generation, so that
// it would notice a replacement.
func (r *Relayer) ClientHasTokens() bool { return r.clientHasTokens }

// Ended reports whether no generation is running.
func (r *Relayer) Ended() bool { return r.ended }

// RecordActivity records the time of a frame of the generation that has no other
// effect here, such as wire.Queued.
func (r *Relayer) RecordActivity(now time.Time, request, generation string) {
	if r.isCurrent(request, generation) {
		r.lastActivity = now
	}
}

// HandleTokens handles a frame of tokens. It drops those that were already delivered. A
// frame that starts beyond the next token is dropped and requested again.
func (r *Relayer) HandleTokens(now time.Time, f *wire.Tokens) Actions {
	if !r.isCurrent(f.RequestId, f.GenerationId) {
		return Actions{}
	}
	r.lastActivity = now
	first := currantwood.TokenIndex(f.FirstIndex)
	if first > r.next {
		return Actions{Resume: r.requestResume(now)}
	}
	delivered := r.next - first
	if delivered >= currantwood.TokenIndex(len(f.Texts)) {
		return Actions{}
	}
	actions := Actions{FirstIndex: r.next, Deliver: f.Texts[delivered:]}
	r.next = first + currantwood.TokenIndex(len(f.Texts))
	r.clientHasTokens = !r.opts.Buffered
	r.lastResume = time.Time{}
	return actions
}

// HandleFinal handles the last frame of a generation. A frame that is not complete ends
// the generation with its refusal. If the frame is complete but tokens before it are
// missing, they are requested again and the generation continues.
func (r *Relayer) HandleFinal(now time.Time, f *wire.Final) Actions {
	if !r.isCurrent(f.RequestId, f.GenerationId) {
		return Actions{}
	}
	r.lastActivity = now
	if !f.Complete {
		actions := r.fail(wire.ToRefusal(f.Refusal))
		actions.TokenSeconds = currantwood.TokenSeconds(f.TokenSeconds)
		return actions
	}
	count := currantwood.TokenIndex(f.TokenCount)
	if count > r.next {
		return Actions{Resume: r.requestResume(now)}
	}
	if count < r.next {
		return r.fail(currantwood.NewRefusal(currantwood.KindInternal, "relayer",
			"the generation ended below a token that was delivered", r.opts.RetryAfter))
	}
	r.ended = true
	return Actions{
		Complete:     true,
		FinishReason: f.FinishReason,
		TokenSeconds: currantwood.TokenSeconds(f.TokenSeconds),
	}
}

// Acknowledge returns the acknowledgement to send to the side, or nil if none is due,
// after the tokens below next were written to the client or collected for a single
// response. One is due every AckEvery tokens and on each call after the end of the
// generation. An index that is lower than the last acknowledged one or higher than
// the next token's gets none.
func (r *Relayer) Acknowledge(next currantwood.TokenIndex) *wire.Ack {
	if next < r.acked || next > r.next {
		return nil
	}
	due := currantwood.TokenCount(next-r.acked) >= r.opts.AckEvery
	if !due && !r.ended {
		return nil
	}
	r.acked = next
	return &wire.Ack{
		RequestId:    string(r.request),
		GenerationId: string(r.generation),
		NextIndex:    uint64(next),
	}
}

// Resume requests a resend at once, without waiting for ResumeAfter. It serves a
// client that reconnects, and a new link to the side, as frames in transit on the
// previous link may be lost.
func (r *Relayer) Resume(now time.Time) Actions {
	if r.ended {
		return Actions{}
	}
	r.lastResume = time.Time{}
	return Actions{Resume: r.requestResume(now)}
}

// Tick requests a resend or ends the generation if no frame has arrived for too
// long.
func (r *Relayer) Tick(now time.Time) Actions {
	if r.ended {
		return Actions{}
	}
	silence := now.Sub(r.lastActivity)
	if silence >= r.lostAfter() {
		refusal := currantwood.NewRefusal(currantwood.KindLinkLost, "relayer",
			"the side did not answer", r.opts.RetryAfter)
		refusal.Ran = currantwood.RanUnknown
		return r.fail(refusal)
	}
	if silence < r.opts.ResumeAfter {
		return Actions{}
	}
	return Actions{Resume: r.requestResume(now)}
}

// NextTick returns the earliest time at which Tick may have something to do, or
// zero if no generation is running.
func (r *Relayer) NextTick() time.Time {
	if r.ended {
		return time.Time{}
	}
	due := r.lastActivity.Add(r.opts.ResumeAfter)
	if nextResume := r.lastResume.Add(r.opts.ResumeAfter); nextResume.After(due) {
		due = nextResume
	}
	if lost := r.lastActivity.Add(r.lostAfter()); lost.Before(due) {
		due = lost
	}
	return due
}

// lostAfter returns the limit on the time without a frame that applies now.
func (r *Relayer) lostAfter() time.Duration {
	if r.next > 0 {
		return r.opts.LostAfter
	}
	return r.opts.FirstTokenLostAfter
}

// isCurrent reports whether a frame with these IDs belongs to the current
// generation and the generation is still running.
func (r *Relayer) isCurrent(request, generation string) bool {
	return !r.ended &&
		request == string(r.request) &&
		generation == string(r.generation)
}

// requestResume returns a resume frame, or nil if the last one was less than
// ResumeAfter ago: a burst of frames beyond a gap causes only one resend.
func (r *Relayer) requestResume(now time.Time) *wire.Resume {
	if !r.lastResume.IsZero() && now.Sub(r.lastResume) < r.opts.ResumeAfter {
		return nil
	}
	r.lastResume = now
	return &wire.Resume{
		RequestId:    string(r.request),
		GenerationId: string(r.generation),
		NextIndex:    uint64(r.next),
		Customer:     string(r.customer),
	}
}

// fail ends the generation. Once the client has tokens, only a client that handles
// restart events may get another generation.
func (r *Relayer) fail(refusal *currantwood.Refusal) Actions {
	r.ended = true
	if refusal == nil {
		refusal = currantwood.NewRefusal(currantwood.KindInternal, "relayer",
			"the side ended the generation without a reason", r.opts.RetryAfter)
	}
	if !r.clientHasTokens {
		return Actions{Refusal: refusal, Retryable: retryable(refusal.Kind)}
	}
	if !isGenerationLoss(refusal.Kind) {
		refusal.Ran = currantwood.RanDone
		return Actions{Refusal: refusal}
	}
	return Actions{Refusal: r.generationLost(refusal), Retryable: r.opts.RestartDeclared}
}

// generationLost returns the refusal for a client that already has tokens of the
// lost generation.
func (r *Relayer) generationLost(cause *currantwood.Refusal) *currantwood.Refusal {
	retryAfter := cause.RetryAfter
	if retryAfter <= 0 {
		retryAfter = r.opts.RetryAfter
	}
	return &currantwood.Refusal{
		Kind:       currantwood.KindGenerationLost,
		Ran:        currantwood.RanDone,
		RetryAfter: retryAfter,
		Step:       cause.Step,
		Peer:       cause.Peer,
		Detail:     "the generation was lost after its first tokens: " + cause.Detail,
	}
}

// isGenerationLoss reports whether a refusal of this kind means that the link, the
// side or the upstream lost the generation. The other kinds reject the request
// itself or end it for another reason.
func isGenerationLoss(kind currantwood.Kind) bool {
	switch kind {
	case currantwood.KindGenerationLost,
		currantwood.KindLinkLost,
		currantwood.KindNotFound,
		currantwood.KindShuttingDown,
		currantwood.KindUpstreamCrash,
		currantwood.KindUpstreamError:
		return true
	}
	return false
}

// retryable reports whether another upstream may serve a request that was refused
// with this kind.
func retryable(kind currantwood.Kind) bool {
	switch kind {
	case currantwood.KindNoCapacity,
		currantwood.KindNoUpstream,
		currantwood.KindNotReady:
		return true
	}
	return isGenerationLoss(kind)
}
