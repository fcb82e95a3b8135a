package holder_test

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/holder"
	"github.com/currantwood/currantwood/wire"
)

var (
	start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)
	opts  = holder.Options{
		Window:         4,
		GracePeriod:    10 * time.Second,
		ReopenInterval: time.Second,
		LostAfter:      5 * time.Second,
		RetryAfter:     2 * time.Second,
	}
)

func token(index uint64) currantwood.TokenEvent {
	return currantwood.TokenEvent{
		Kind: currantwood.EventToken, Index: currantwood.TokenIndex(index), Text: fmt.Sprintf("t%d", index),
	}
}

func done(count uint64) currantwood.TokenEvent {
	return currantwood.TokenEvent{
		Kind: currantwood.EventDone, Index: currantwood.TokenIndex(count), FinishReason: "stop",
	}
}

// takeFrames returns the frames that are ready, if any.
func takeFrames(h *holder.Holder, a holder.Actions) []*wire.Frame {
	if !a.FramesReady {
		return nil
	}
	return h.TakeFrames()
}

// format describes actions: the sent texts with their first index, then the final
// frame and the other actions.
func format(h *holder.Holder, a holder.Actions) string {
	var parts []string
	for _, frame := range takeFrames(h, a) {
		if f := frame.GetTokens(); f != nil {
			parts = append(parts, fmt.Sprintf("%d:%s", f.FirstIndex, strings.Join(f.Texts, ",")))
		}
		if f := frame.GetFinal(); f != nil && f.Complete {
			parts = append(parts, fmt.Sprintf("final=%d", f.TokenCount))
		} else if f != nil {
			parts = append(parts, "final="+currantwood.Kind(f.Refusal.Kind).String())
		}
	}
	if a.Reopen {
		parts = append(parts, fmt.Sprintf("reopen@%d", a.ReopenFrom))
	}
	if a.Cancel {
		parts = append(parts, "cancel")
	}
	if a.Forget {
		parts = append(parts, "forget")
	}
	return strings.Join(parts, " ")
}

type step func(h *holder.Holder) holder.Actions

func at(d time.Duration) time.Time { return start.Add(d) }

func event(e currantwood.TokenEvent) step {
	return func(h *holder.Holder) holder.Actions { return h.Event(start, e) }
}

func ack(next currantwood.TokenIndex) step {
	return func(h *holder.Holder) holder.Actions { return h.Ack(next) }
}

func resume(next currantwood.TokenIndex) step {
	return func(h *holder.Holder) holder.Actions { return h.Resume(next) }
}

func interrupted(d time.Duration) step {
	return func(h *holder.Holder) holder.Actions { return h.Interrupted(at(d)) }
}

func reopened(d time.Duration) step {
	return func(h *holder.Holder) holder.Actions { h.Opened(at(d)); return holder.Actions{} }
}

func detach(h *holder.Holder) holder.Actions { h.Detach(start); return holder.Actions{} }

func lost(h *holder.Holder) holder.Actions { return h.Lost("gone") }

func tick(d time.Duration) step {
	return func(h *holder.Holder) holder.Actions { return h.Tick(at(d)) }
}

var _ = Describe("Holder", func() {
	DescribeTable("events of one generation", func(want string, steps ...step) {
		h := holder.New(start, "r", "a", 0, opts)
		var got []string
		for _, s := range steps {
			if line := format(h, s(h)); line != "" {
				got = append(got, line)
			}
		}
		Expect(strings.Join(got, " | ")).To(Equal(want))
	},
		Entry("a complete generation", "0:t0 | 1:t1 | final=2 | forget",
			event(token(0)), event(token(1)), event(done(2)), ack(2)),
		Entry("the engine repeats tokens", "0:t0 | 1:t1", event(token(0)), event(token(0)), event(token(1))),
		Entry("the engine skips a token", "0:t0 | reopen@1", event(token(0)), event(token(2))),
		Entry("the engine counts more tokens than it sent", "0:t0 | reopen@1", event(token(0)), event(done(2))),
		Entry("the engine counts fewer tokens than it sent", "0:t0 | 1:t1 | final=generation-lost",
			event(token(0)), event(token(1)), event(done(1))),
		Entry("a resume from a token that is kept", "0:t0 | 1:t1 | 1:t1",
			event(token(0)), event(token(1)), ack(1), resume(1)),
		Entry("a resume by a reader that has every token so far", "0:t0 | 1:", event(token(0)), resume(1)),
		Entry("a resume above the tokens read so far", "0:t0 | 1:", event(token(0)), resume(9)),
		Entry("a resume below the tokens that are kept", "0:t0 | 1:t1 | 0: reopen@0 | 0:t0",
			event(token(0)), event(token(1)), ack(2), resume(0), event(token(0))),
		Entry("a resume after the end", "0:t0 | final=1 | 0:t0 final=1 | forget",
			event(token(0)), event(done(1)), resume(0), ack(1)),
		Entry("an acknowledgement of tokens that were not sent", "0:t0", event(token(0)), ack(5)),
		Entry("every token is acknowledged before the final frame: the state is kept", "0:t0 | final=1",
			event(token(0)), ack(1), event(done(1))),
		Entry("a closed link, then a resume within the grace period", "0:t0 | 1:t1 | 2:t2",
			event(token(0)), detach, event(token(1)), tick(9*time.Second), resume(1), event(token(2))),
		Entry("a closed link without a resume", "0:t0 | cancel forget", event(token(0)), detach, tick(10*time.Second), tick(11*time.Second)),
		Entry("a closed link after the end", "0:t0 | final=1 | forget",
			event(token(0)), event(done(1)), detach, tick(10*time.Second)),
		Entry("an interruption, then a successful reopen", "0:t0 | reopen@1 | 1:t1",
			event(token(0)), interrupted(0), reopened(0), event(token(1))),
		Entry("an engine that stays unreachable", "reopen@0 | reopen@0 | final=generation-lost",
			interrupted(0), interrupted(time.Second), tick(2*time.Second), interrupted(5*time.Second)),
		Entry("an engine that interrupts the stream soon after each reopen", "reopen@0 | reopen@0 | final=generation-lost",
			interrupted(0), reopened(0), interrupted(time.Second), tick(2*time.Second), reopened(3*time.Second), interrupted(5*time.Second)),
		Entry("two interruptions far apart without a token in between", "reopen@0 | reopen@0",
			interrupted(0), reopened(0), interrupted(20*time.Second)),
		Entry("an engine that lost the stream", "0:t0 | final=generation-lost", event(token(0)), lost, event(token(1))),
	)

	It("stops reading for a slow caller and continues after an acknowledgement", func() {
		h := holder.New(start, "r", "a", 0, opts)
		for i := range uint64(4) {
			Expect(h.CanRead()).To(BeTrue())
			takeFrames(h, h.Event(start, token(i)))
		}
		Expect(h.CanRead()).To(BeFalse())
		h.Ack(2)
		Expect(h.CanRead()).To(BeTrue())
	})

	It("sends the tokens since the last frame and the final frame together", func() {
		h := holder.New(start, "r", "a", 0, opts)
		h.Event(start, token(0))
		h.Event(start, token(1))
		Expect(format(h, h.Event(start, done(2)))).To(Equal("0:t0,t1 final=2"))
		Expect(h.TakeFrames()).To(BeEmpty())
	})

	It("does not change frames that have not been written yet", func() {
		h := holder.New(start, "r", "a", 0, opts)
		frame := takeFrames(h, h.Event(start, token(0)))[0]
		h.Ack(1)
		h.Event(start, token(1))
		Expect(frame.GetTokens().Texts).To(Equal([]string{"t0"}))
	})

	It("sends the tokens in order and a correct final frame, whatever the order of events", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			h := holder.New(start, "r", "a", 0, opts)
			count := rapid.Uint64Range(0, 12).Draw(t, "count")
			engineIndex, received, ended := uint64(0), uint64(0), false
			handle := func(a holder.Actions) {
				if a.Reopen {
					engineIndex = uint64(a.ReopenFrom)
					h.Opened(start)
				}
				for _, frame := range takeFrames(h, a) {
					if f := frame.GetTokens(); f != nil && f.FirstIndex <= received {
						for i, text := range f.Texts {
							if text != fmt.Sprintf("t%d", f.FirstIndex+uint64(i)) {
								t.Fatalf("token %d is %q", f.FirstIndex+uint64(i), text)
							}
						}
						received = max(received, f.FirstIndex+uint64(len(f.Texts)))
					}
					if f := frame.GetFinal(); f != nil && (f.TokenCount != count || !f.Complete) {
						t.Fatalf("final frame %v of %d tokens", f, count)
					}
					ended = ended || frame.GetFinal() != nil
				}
			}
			engineStep := func(*rapid.T) {
				if !h.CanRead() {
					return
				}
				if engineIndex == count {
					handle(h.Event(start, done(count)))
					return
				}
				handle(h.Event(start, token(engineIndex)))
				engineIndex++
			}
			t.Repeat(map[string]func(*rapid.T){
				"engine": engineStep,
				"cut":    func(*rapid.T) { handle(h.Interrupted(start)) },
				"detach": func(*rapid.T) { h.Detach(start) },
				"ack":    func(t *rapid.T) { h.Ack(currantwood.TokenIndex(rapid.Uint64Range(0, received).Draw(t, "ack"))) },
				"resume": func(t *rapid.T) {
					handle(h.Resume(currantwood.TokenIndex(rapid.Uint64Range(0, received).Draw(t, "resume"))))
				},
			})
			if ended && received != count {
				t.Fatalf("ended with %d of %d tokens", received, count)
			}
		})
	})
})
