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
		Window:      4,
		Grace:       10 * time.Second,
		ReopenEvery: time.Second,
		LostAfter:   5 * time.Second,
		RetryAfter:  2 * time.Second,
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

// taken are the frames that are ready.
func taken(h *holder.Holder, a holder.Actions) []*wire.Frame {
	if !a.Ready {
		return nil
	}
	return h.Take()
}

// show writes actions down: sent texts with their first index, then the rest.
func show(h *holder.Holder, a holder.Actions) string {
	var parts []string
	for _, frame := range taken(h, a) {
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
		parts = append(parts, fmt.Sprintf("reopen@%d", a.From))
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

func cut(d time.Duration) step {
	return func(h *holder.Holder) holder.Actions { return h.Cut(at(d)) }
}

func reopened(d time.Duration) step {
	return func(h *holder.Holder) holder.Actions { h.Reopened(at(d)); return holder.Actions{} }
}

func detach(h *holder.Holder) holder.Actions { h.Detach(start); return holder.Actions{} }

func lose(h *holder.Holder) holder.Actions { return h.Lost("gone") }

func tick(d time.Duration) step {
	return func(h *holder.Holder) holder.Actions { return h.Tick(at(d)) }
}

var _ = Describe("Holder", func() {
	DescribeTable("events of one generation", func(want string, steps ...step) {
		h := holder.New(start, "r", "a", 0, opts)
		var got []string
		for _, s := range steps {
			if line := show(h, s(h)); line != "" {
				got = append(got, line)
			}
		}
		Expect(strings.Join(got, " | ")).To(Equal(want))
	},
		Entry("to the end", "0:t0 | 1:t1 | final=2 | forget",
			event(token(0)), event(token(1)), event(done(2)), ack(2)),
		Entry("the engine repeats tokens", "0:t0 | 1:t1", event(token(0)), event(token(0)), event(token(1))),
		Entry("the engine leaves out a token", "0:t0 | reopen@1", event(token(0)), event(token(2))),
		Entry("the engine ends too early", "0:t0 | reopen@1", event(token(0)), event(done(2))),
		Entry("the engine counts too few", "0:t0 | 1:t1 | final=generation-lost",
			event(token(0)), event(token(1)), event(done(1))),
		Entry("a resume of what is kept", "0:t0 | 1:t1 | 1:t1",
			event(token(0)), event(token(1)), ack(1), resume(1)),
		Entry("a resume that has everything", "0:t0 | 1:", event(token(0)), resume(1)),
		Entry("a resume beyond what was read", "0:t0 | 1:", event(token(0)), resume(9)),
		Entry("a resume below what is kept", "0:t0 | 1:t1 | 0: reopen@0 | 0:t0",
			event(token(0)), event(token(1)), ack(2), resume(0), event(token(0))),
		Entry("a resume after the end", "0:t0 | final=1 | 0:t0 final=1 | forget",
			event(token(0)), event(done(1)), resume(0), ack(1)),
		Entry("an acknowledgement of what was not sent", "0:t0", event(token(0)), ack(5)),
		Entry("the last acknowledgement before the final frame", "0:t0 | final=1",
			event(token(0)), ack(1), event(done(1))),
		Entry("a dead link, then a resume within the grace time", "0:t0 | 1:t1 | 2:t2",
			event(token(0)), detach, event(token(1)), tick(9*time.Second), resume(1), event(token(2))),
		Entry("a dead link for good", "0:t0 | cancel forget", event(token(0)), detach, tick(10*time.Second), tick(11*time.Second)),
		Entry("a dead link after the end", "0:t0 | final=1 | forget",
			event(token(0)), event(done(1)), detach, tick(10*time.Second)),
		Entry("a cut that a reopen mends", "0:t0 | reopen@1 | 1:t1",
			event(token(0)), cut(0), reopened(0), event(token(1))),
		Entry("an engine that is not reached again", "reopen@0 | reopen@0 | final=generation-lost",
			cut(0), cut(time.Second), tick(2*time.Second), cut(5*time.Second)),
		Entry("an engine that cuts at once, each time", "reopen@0 | reopen@0 | final=generation-lost",
			cut(0), reopened(0), cut(time.Second), tick(2*time.Second), reopened(3*time.Second), cut(5*time.Second)),
		Entry("two cuts far apart without a token", "reopen@0 | reopen@0",
			cut(0), reopened(0), cut(20*time.Second)),
		Entry("an engine that lost the stream", "0:t0 | final=generation-lost", event(token(0)), lose, event(token(1))),
	)

	It("stops reading for a slow caller and reads on after an acknowledgement", func() {
		h := holder.New(start, "r", "a", 0, opts)
		for i := range uint64(4) {
			Expect(h.Reading()).To(BeTrue())
			taken(h, h.Event(start, token(i)))
		}
		Expect(h.Reading()).To(BeFalse())
		h.Ack(2)
		Expect(h.Reading()).To(BeTrue())
	})

	It("sends what came since the last frame together", func() {
		h := holder.New(start, "r", "a", 0, opts)
		h.Event(start, token(0))
		h.Event(start, token(1))
		Expect(show(h, h.Event(start, done(2)))).To(Equal("0:t0,t1 final=2"))
		Expect(h.Take()).To(BeEmpty())
	})

	It("leaves the frames that wait to be written alone", func() {
		h := holder.New(start, "r", "a", 0, opts)
		frame := taken(h, h.Event(start, token(0)))[0]
		h.Ack(1)
		h.Event(start, token(1))
		Expect(frame.GetTokens().Texts).To(Equal([]string{"t0"}))
	})

	It("sends every token in order and a true final frame under any schedule", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			h := holder.New(start, "r", "a", 0, opts)
			count := rapid.Uint64Range(0, 12).Draw(t, "count")
			engine, given, ended := uint64(0), uint64(0), false
			take := func(a holder.Actions) {
				if a.Reopen {
					engine = uint64(a.From)
					h.Reopened(start)
				}
				for _, frame := range taken(h, a) {
					if f := frame.GetTokens(); f != nil && f.FirstIndex <= given {
						for i, text := range f.Texts {
							if text != fmt.Sprintf("t%d", f.FirstIndex+uint64(i)) {
								t.Fatalf("token %d is %q", f.FirstIndex+uint64(i), text)
							}
						}
						given = max(given, f.FirstIndex+uint64(len(f.Texts)))
					}
					if f := frame.GetFinal(); f != nil && (f.TokenCount != count || !f.Complete) {
						t.Fatalf("final frame %v of %d tokens", f, count)
					}
					ended = ended || frame.GetFinal() != nil
				}
			}
			engineStep := func(*rapid.T) {
				if !h.Reading() {
					return
				}
				if engine == count {
					take(h.Event(start, done(count)))
					return
				}
				take(h.Event(start, token(engine)))
				engine++
			}
			t.Repeat(map[string]func(*rapid.T){
				"engine": engineStep,
				"cut":    func(*rapid.T) { take(h.Cut(start)) },
				"detach": func(*rapid.T) { h.Detach(start) },
				"ack":    func(t *rapid.T) { h.Ack(currantwood.TokenIndex(rapid.Uint64Range(0, given).Draw(t, "ack"))) },
				"resume": func(t *rapid.T) {
					take(h.Resume(currantwood.TokenIndex(rapid.Uint64Range(0, given).Draw(t, "resume"))))
				},
			})
			if ended && given != count {
				t.Fatalf("ended with %d of %d", given, count)
			}
		})
	})
})
