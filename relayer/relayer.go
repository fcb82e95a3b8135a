// Package relayer decides what an entry does with the frames of one request:
// which tokens go on to the caller, when the side is asked to resend, and how
// the request ends. It does no input or output.
package relayer

import (
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/wire"
)

// Options are the limits of one request.
type Options struct {
	// ResumeAfter is the silence after which the side is asked to resend; > 0.
	ResumeAfter time.Duration
	// LostAfter is the silence, through all resumes, after which the
	// generation counts as lost; > ResumeAfter.
	LostAfter time.Duration
	// UnseenLostAfter stands in for LostAfter while there is no token yet:
	// another upstream serves it sooner than a side that has to come back.
	// ResumeAfter < UnseenLostAfter <= LostAfter.
	UnseenLostAfter time.Duration
	// AckEvery is the number of delivered tokens between two
	// acknowledgements; at least 1 and less than the side's window.
	AckEvery currantwood.TokenCount
	// RetryAfter is told to a caller whose generation was lost.
	RetryAfter time.Duration
	// RestartDeclared says that the caller understands a restart event.
	RestartDeclared bool
	// Whole says that the caller gets one answer at the end, and no token
	// before it.
	Whole bool
}

// Actions is what the entry has to do after an event. The zero value asks for
// nothing.
type Actions struct {
	// Deliver are the texts of consecutive tokens for the caller; the first
	// one has the index From.
	Deliver []string
	From    currantwood.TokenIndex
	// Resume asks the side to send again from its index on.
	Resume *wire.Resume
	// Complete says that the caller has been handed every token.
	Complete     bool
	FinishReason string
	// TokenSeconds is the engine memory that the generation held; set at the
	// end of a generation.
	TokenSeconds currantwood.TokenSeconds
	// Refusal ends the generation. It is the final answer unless Restart is
	// set and a new generation can be started.
	Refusal *currantwood.Refusal
	Restart bool
}

// Relayer is the state of one request at its entry. It is not safe for
// concurrent use.
type Relayer struct {
	opts     Options
	request  currantwood.RequestID
	customer currantwood.CustomerID
	// generation is the only one whose frames are taken.
	generation currantwood.GenerationID
	// next is the index of the next token for the caller. It never goes down
	// within a generation.
	next currantwood.TokenIndex
	// acked <= next.
	acked currantwood.TokenIndex
	// shown says that the caller was handed a token of any generation that
	// has not been followed by a restart event.
	shown bool
	// ended says that the bound generation is over.
	ended bool
	// heardAt is when the side last said something of this generation.
	heardAt time.Time
	// askedAt is when the last resume was asked; zero after progress.
	askedAt time.Time
}

// New makes the state of a request that has no generation yet.
func New(request currantwood.RequestID, customer currantwood.CustomerID, opts Options) *Relayer {
	return &Relayer{opts: opts, request: request, customer: customer, ended: true}
}

// Bind starts to take the frames of a generation, from the given index on. It
// returns true when the caller must first be told of a restart.
func (r *Relayer) Bind(now time.Time, generation currantwood.GenerationID, next currantwood.TokenIndex) bool {
	restart := r.shown
	r.generation = generation
	r.next = next
	r.acked = next
	r.shown = next > 0
	r.ended = false
	r.heardAt = now
	r.askedAt = time.Time{}
	return restart
}

// Position is where the caller stands.
func (r *Relayer) Position() (currantwood.GenerationID, currantwood.TokenIndex) {
	return r.generation, r.next
}

// Shown says that the caller has tokens of the generation, so that another one
// can't take its place unseen.
func (r *Relayer) Shown() bool { return r.shown }

// Ended says that no generation is running.
func (r *Relayer) Ended() bool { return r.ended }

// Heard notes a frame of the generation that carries no tokens.
func (r *Relayer) Heard(now time.Time, request, generation string) {
	if r.bound(request, generation) {
		r.heardAt = now
	}
}

// Tokens takes a frame of tokens. Tokens that the caller has are dropped; a
// frame beyond the next token is dropped and asked for again.
func (r *Relayer) Tokens(now time.Time, f *wire.Tokens) Actions {
	if !r.bound(f.RequestId, f.GenerationId) {
		return Actions{}
	}
	r.heardAt = now
	first := currantwood.TokenIndex(f.FirstIndex)
	if first > r.next {
		return Actions{Resume: r.ask(now)}
	}
	known := r.next - first
	if known >= currantwood.TokenIndex(len(f.Texts)) {
		return Actions{}
	}
	actions := Actions{From: r.next, Deliver: f.Texts[known:]}
	r.next = first + currantwood.TokenIndex(len(f.Texts))
	r.shown = !r.opts.Whole
	r.askedAt = time.Time{}
	return actions
}

// Final takes the last frame of a generation.
func (r *Relayer) Final(now time.Time, f *wire.Final) Actions {
	if !r.bound(f.RequestId, f.GenerationId) {
		return Actions{}
	}
	r.heardAt = now
	if !f.Complete {
		actions := r.fail(wire.ToRefusal(f.Refusal))
		actions.TokenSeconds = currantwood.TokenSeconds(f.TokenSeconds)
		return actions
	}
	count := currantwood.TokenIndex(f.TokenCount)
	if count > r.next {
		return Actions{Resume: r.ask(now)}
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

// Written notes that the caller was given all tokens below next, and returns
// the acknowledgement when one is due. After the end one is always due.
func (r *Relayer) Written(next currantwood.TokenIndex) *wire.Ack {
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

// Relinked notes that a fresh link to the side is up: what was under way on
// the old one may be gone.
func (r *Relayer) Relinked(now time.Time) Actions {
	if r.ended {
		return Actions{}
	}
	r.askedAt = time.Time{}
	return Actions{Resume: r.ask(now)}
}

// Tick looks for silence. Due says when to call it next.
func (r *Relayer) Tick(now time.Time) Actions {
	if r.ended {
		return Actions{}
	}
	silence := now.Sub(r.heardAt)
	if silence >= r.lostAfter() {
		refusal := currantwood.NewRefusal(currantwood.KindLinkLost, "relayer",
			"the side did not answer", r.opts.RetryAfter)
		refusal.Ran = currantwood.RanUnknown
		return r.fail(refusal)
	}
	if silence < r.opts.ResumeAfter {
		return Actions{}
	}
	return Actions{Resume: r.ask(now)}
}

// Due is when Tick can next have something to do; zero when never.
func (r *Relayer) Due() time.Time {
	if r.ended {
		return time.Time{}
	}
	due := r.heardAt.Add(r.opts.ResumeAfter)
	if again := r.askedAt.Add(r.opts.ResumeAfter); again.After(due) {
		due = again
	}
	if lost := r.heardAt.Add(r.lostAfter()); lost.Before(due) {
		due = lost
	}
	return due
}

func (r *Relayer) lostAfter() time.Duration {
	if r.next > 0 {
		return r.opts.LostAfter
	}
	return r.opts.UnseenLostAfter
}

func (r *Relayer) bound(request, generation string) bool {
	return !r.ended &&
		request == string(r.request) &&
		generation == string(r.generation)
}

// ask returns a resume unless one was asked a moment ago: a burst of frames
// beyond a gap is answered by one resend.
func (r *Relayer) ask(now time.Time) *wire.Resume {
	if !r.askedAt.IsZero() && now.Sub(r.askedAt) < r.opts.ResumeAfter {
		return nil
	}
	r.askedAt = now
	return &wire.Resume{
		RequestId:    string(r.request),
		GenerationId: string(r.generation),
		NextIndex:    uint64(r.next),
		Customer:     string(r.customer),
	}
}

// fail ends the generation. Once a token was shown, only a caller that
// declared it may be given another generation.
func (r *Relayer) fail(refusal *currantwood.Refusal) Actions {
	r.ended = true
	if refusal == nil {
		refusal = currantwood.NewRefusal(currantwood.KindInternal, "relayer",
			"the side ended the generation without a reason", r.opts.RetryAfter)
	}
	if !r.shown {
		return Actions{Refusal: refusal, Restart: startable(refusal.Kind)}
	}
	if !lost(refusal.Kind) {
		refusal.Ran = currantwood.RanDone
		return Actions{Refusal: refusal}
	}
	return Actions{Refusal: r.generationLost(refusal), Restart: r.opts.RestartDeclared}
}

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

// lost tells the kinds that say that a running generation cannot go on.
func lost(kind currantwood.Kind) bool {
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

// startable tells the kinds after which another upstream may do better.
func startable(kind currantwood.Kind) bool {
	switch kind {
	case currantwood.KindNoCapacity,
		currantwood.KindNoUpstream,
		currantwood.KindNotReady:
		return true
	}
	return lost(kind)
}
