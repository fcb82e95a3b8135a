package relayer_test

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/relayer"
	"github.com/currantwood/currantwood/wire"
)

var (
	start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)
	opts  = relayer.Options{
		ResumeAfter:         time.Second,
		LostAfter:           8 * time.Second,
		FirstTokenLostAfter: 5 * time.Second,
		AckEvery:            4,
		RetryAfter:          2 * time.Second,
	}
)

// tokensFrame returns a frame whose texts name their generation and index, and
// their request unless it is r.
func tokensFrame(request, generation string, first uint64, count int) *wire.Tokens {
	f := &wire.Tokens{RequestId: request, GenerationId: generation, FirstIndex: first}
	for i := range count {
		f.Texts = append(f.Texts, fmt.Sprintf("%s%s%d ", strings.TrimPrefix(request, "r"), generation, first+uint64(i)))
	}
	return f
}

func completeFrame(generation string, count uint64) *wire.Final {
	return &wire.Final{RequestId: "r", GenerationId: generation, TokenCount: count, Complete: true, FinishReason: "stop"}
}

func failedFrame(generation string, kind currantwood.Kind) *wire.Final {
	refusal := currantwood.NewRefusal(kind, "holder", "gone", 0)
	return &wire.Final{RequestId: "r", GenerationId: generation, Refusal: wire.FromRefusal(refusal)}
}

// feed passes frames to r, one per millisecond, and returns the resulting actions
// as text. A time.Duration among the frames advances the clock and calls Tick.
func feed(r *relayer.Relayer, frames ...any) string {
	var b strings.Builder
	now := start
	for _, frame := range frames {
		now = now.Add(time.Millisecond)
		var a relayer.Actions
		switch f := frame.(type) {
		case *wire.Tokens:
			a = r.HandleTokens(now, f)
		case *wire.Final:
			a = r.HandleFinal(now, f)
		case time.Duration:
			now = now.Add(f)
			a = r.Tick(now)
		}
		b.WriteString(strings.Join(a.Deliver, ""))
		if a.Resume != nil {
			fmt.Fprintf(&b, "resume@%d ", a.Resume.NextIndex)
		}
		if a.Complete {
			b.WriteString("complete ")
		}
		if a.Refusal != nil {
			fmt.Fprintf(&b, "%s,%s,retryable=%v ", a.Refusal.Kind, a.Refusal.Ran, a.Retryable)
		}
	}
	return strings.TrimSpace(b.String())
}

var _ = Describe("Relayer", func() {
	DescribeTable("handles the frames of one request", func(want string, frames ...any) {
		r := relayer.New("r", "c", opts)
		r.SetGeneration(start, "a", 0)
		Expect(feed(r, frames...)).To(Equal(want))
	},
		Entry("tokens in order", "a0 a1 a2 complete", tokensFrame("r", "a", 0, 2), tokensFrame("r", "a", 2, 1), completeFrame("a", 3)),
		Entry("a duplicate frame", "a0 a1 a2", tokensFrame("r", "a", 0, 2), tokensFrame("r", "a", 0, 2), tokensFrame("r", "a", 2, 1)),
		Entry("an overlapping frame", "a0 a1 a2 a3", tokensFrame("r", "a", 0, 3), tokensFrame("r", "a", 1, 3)),
		Entry("a gap, which is requested only once", "a0 resume@1 a1 a2 a3",
			tokensFrame("r", "a", 0, 1), tokensFrame("r", "a", 2, 1), tokensFrame("r", "a", 3, 1), tokensFrame("r", "a", 1, 3)),
		Entry("frames in reverse order, then the resent ones in order", "resume@0 a0 a1 a2 complete",
			completeFrame("a", 3), tokensFrame("r", "a", 1, 2), tokensFrame("r", "a", 0, 3), completeFrame("a", 3)),
		Entry("a final frame before the last token", "a0 resume@1 a1 complete",
			tokensFrame("r", "a", 0, 1), completeFrame("a", 2), tokensFrame("r", "a", 1, 1), completeFrame("a", 2)),
		Entry("a duplicate final frame", "a0 complete", tokensFrame("r", "a", 0, 1), completeFrame("a", 1), completeFrame("a", 1)),
		Entry("tokens after the end", "a0 complete", tokensFrame("r", "a", 0, 1), completeFrame("a", 1), tokensFrame("r", "a", 1, 1)),
		Entry("a final frame that counts fewer tokens than were delivered", "a0 a1 internal,ran,retryable=false",
			tokensFrame("r", "a", 0, 2), completeFrame("a", 1)),
		Entry("frames of another generation", "a0 a1", tokensFrame("r", "a", 0, 1), tokensFrame("r", "b", 1, 1), completeFrame("b", 1), tokensFrame("r", "a", 1, 1)),
		Entry("a frame of another request", "a0 a1", tokensFrame("r", "a", 0, 1), tokensFrame("s", "a", 1, 1), tokensFrame("r", "a", 1, 1)),
		Entry("a pause after the first token", "a0 resume@1 a1", tokensFrame("r", "a", 0, 1), 2*time.Second, tokensFrame("r", "a", 1, 1)),
		Entry("no frames at all", "resume@0 link-lost,unknown,retryable=true", 2*time.Second, 4*time.Second),
		Entry("no more frames after the first token", "a0 resume@1 resume@1 generation-lost,ran,retryable=false",
			tokensFrame("r", "a", 0, 1), 2*time.Second, 4*time.Second, 4*time.Second),
		Entry("a generation lost before its first token", "generation-lost,not-run,retryable=true",
			failedFrame("a", currantwood.KindGenerationLost)),
		Entry("a generation lost after its first token", "a0 generation-lost,ran,retryable=false",
			tokensFrame("r", "a", 0, 1), failedFrame("a", currantwood.KindGenerationLost)),
		Entry("a refusal that every other upstream would repeat", "quarantined,not-run,retryable=false",
			failedFrame("a", currantwood.KindQuarantined)),
		Entry("a deadline that passes after the first token", "a0 deadline,ran,retryable=false",
			tokensFrame("r", "a", 0, 1), failedFrame("a", currantwood.KindDeadline)),
		Entry("a generation that another entry takes over before its first token", "taken-over,not-run,retryable=false",
			failedFrame("a", currantwood.KindTakenOver)),
		Entry("an incomplete final frame without a refusal", "internal,not-run,retryable=false",
			&wire.Final{RequestId: "r", GenerationId: "a"}),
	)

	It("gives a client that handles restart events a new generation from index 0, after such an event", func() {
		declared := opts
		declared.RestartDeclared = true
		r := relayer.New("r", "c", declared)
		Expect(r.SetGeneration(start, "a", 0)).To(BeFalse())
		Expect(feed(r, tokensFrame("r", "a", 0, 2), failedFrame("a", currantwood.KindGenerationLost))).
			To(Equal("a0 a1 generation-lost,ran,retryable=true"))
		Expect(r.SetGeneration(start, "b", 0)).To(BeTrue())
		Expect(feed(r, tokensFrame("r", "a", 2, 1), tokensFrame("r", "b", 0, 1), completeFrame("a", 3), completeFrame("b", 1))).
			To(Equal("b0 complete"))
	})

	// Guards against issue 13: the generation is lost after its first tokens, there
	// by a stalled upstream, while the client waits for a single response and has
	// received nothing yet.
	It("allows another generation after the first tokens if the client gets a single response", func() {
		single := opts
		single.Buffered = true
		r := relayer.New("r", "c", single)
		Expect(r.SetGeneration(start, "a", 0)).To(BeFalse())
		Expect(feed(r, tokensFrame("r", "a", 0, 2), failedFrame("a", currantwood.KindGenerationLost))).
			To(HaveSuffix("retryable=true"))
		Expect(r.ClientHasTokens()).To(BeFalse())
		Expect(r.SetGeneration(start, "b", 0)).To(BeFalse(), "no restart event is needed")
	})

	It("reports that the client has tokens once the first token of a stream is delivered", func() {
		r := relayer.New("r", "c", opts)
		r.SetGeneration(start, "a", 0)
		Expect(r.ClientHasTokens()).To(BeFalse())
		feed(r, tokensFrame("r", "a", 0, 1))
		Expect(r.ClientHasTokens()).To(BeTrue())
	})

	It("resumes a generation at the client's index and allows no new one when it is lost", func() {
		r := relayer.New("r", "c", opts)
		r.SetGeneration(start, "a", 7)
		Expect(r.Resume(start).Resume.NextIndex).To(BeEquivalentTo(7))
		Expect(feed(r, tokensFrame("r", "a", 5, 3), failedFrame("a", currantwood.KindGenerationLost))).
			To(Equal("a7 generation-lost,ran,retryable=false"))
	})

	It("acknowledges written tokens in batches and at the end", func() {
		r := relayer.New("r", "c", opts)
		r.SetGeneration(start, "a", 0)
		feed(r, tokensFrame("r", "a", 0, 6))
		Expect(r.Acknowledge(3)).To(BeNil())
		Expect(r.Acknowledge(5).NextIndex).To(BeEquivalentTo(5))
		Expect(r.Acknowledge(9)).To(BeNil())
		feed(r, completeFrame("a", 6))
		Expect(r.Acknowledge(6).NextIndex).To(BeEquivalentTo(6))
	})

	It("delivers tokens in order and none twice for any sequence of frames, and all of them before it completes", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			r := relayer.New("r", "c", opts)
			r.SetGeneration(start, "a", 0)
			count := rapid.IntRange(1, 20).Draw(t, "count")
			now, got, complete := start, "", false
			for range rapid.IntRange(0, 60).Draw(t, "frames") {
				now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "wait")) * time.Millisecond)
				first := rapid.IntRange(0, count-1).Draw(t, "first")
				size := rapid.IntRange(0, count-first).Draw(t, "size")
				generation := rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(t, "generation")
				request := rapid.SampledFrom([]string{"r", "r", "r", "s"}).Draw(t, "request")
				got += strings.Join(r.HandleTokens(now, tokensFrame(request, generation, uint64(first), size)).Deliver, "")
				if rapid.Bool().Draw(t, "final") {
					complete = r.HandleFinal(now, completeFrame("a", uint64(count))).Complete || complete
				}
			}
			want := strings.Join(tokensFrame("r", "a", 0, count).Texts, "")
			if !strings.HasPrefix(want, got) {
				t.Fatalf("delivered %q, want a prefix of %q", got, want)
			}
			if complete && got != want {
				t.Fatalf("completed after %q, want %q", got, want)
			}
		})
	})
})
