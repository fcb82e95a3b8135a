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
		ResumeAfter:     time.Second,
		LostAfter:       8 * time.Second,
		UnseenLostAfter: 5 * time.Second,
		AckEvery:        4,
		RetryAfter:      2 * time.Second,
	}
)

// tokens makes a frame whose texts name their generation and index, and their
// request unless it is r.
func tokens(request, generation string, first uint64, count int) *wire.Tokens {
	f := &wire.Tokens{RequestId: request, GenerationId: generation, FirstIndex: first}
	for i := range count {
		f.Texts = append(f.Texts, fmt.Sprintf("%s%s%d ", strings.TrimPrefix(request, "r"), generation, first+uint64(i)))
	}
	return f
}

func whole(generation string, count uint64) *wire.Final {
	return &wire.Final{RequestId: "r", GenerationId: generation, TokenCount: count, Complete: true, FinishReason: "stop"}
}

func broken(generation string, kind currantwood.Kind) *wire.Final {
	refusal := currantwood.NewRefusal(kind, "holder", "gone", 0)
	return &wire.Final{RequestId: "r", GenerationId: generation, Refusal: wire.FromRefusal(refusal)}
}

// run feeds frames a millisecond apart and writes down what was asked for.
func run(r *relayer.Relayer, frames ...any) string {
	var b strings.Builder
	now := start
	for _, frame := range frames {
		now = now.Add(time.Millisecond)
		var a relayer.Actions
		switch f := frame.(type) {
		case *wire.Tokens:
			a = r.Tokens(now, f)
		case *wire.Final:
			a = r.Final(now, f)
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
			fmt.Fprintf(&b, "%s,%s,restart=%v ", a.Refusal.Kind, a.Refusal.Ran, a.Restart)
		}
	}
	return strings.TrimSpace(b.String())
}

var _ = Describe("Relayer", func() {
	DescribeTable("frames of one request", func(want string, frames ...any) {
		r := relayer.New("r", "c", opts)
		r.Bind(start, "a", 0)
		Expect(run(r, frames...)).To(Equal(want))
	},
		Entry("in order", "a0 a1 a2 complete", tokens("r", "a", 0, 2), tokens("r", "a", 2, 1), whole("a", 3)),
		Entry("a duplicate frame", "a0 a1 a2", tokens("r", "a", 0, 2), tokens("r", "a", 0, 2), tokens("r", "a", 2, 1)),
		Entry("an overlapping frame", "a0 a1 a2 a3", tokens("r", "a", 0, 3), tokens("r", "a", 1, 3)),
		Entry("a gap is asked for once", "a0 resume@1 a1 a2 a3",
			tokens("r", "a", 0, 1), tokens("r", "a", 2, 1), tokens("r", "a", 3, 1), tokens("r", "a", 1, 3)),
		Entry("frames in reverse", "resume@0 a0 a1 a2 complete",
			whole("a", 3), tokens("r", "a", 1, 2), tokens("r", "a", 0, 3), whole("a", 3)),
		Entry("a final frame before the last token", "a0 resume@1 a1 complete",
			tokens("r", "a", 0, 1), whole("a", 2), tokens("r", "a", 1, 1), whole("a", 2)),
		Entry("a final frame twice", "a0 complete", tokens("r", "a", 0, 1), whole("a", 1), whole("a", 1)),
		Entry("tokens after the end", "a0 complete", tokens("r", "a", 0, 1), whole("a", 1), tokens("r", "a", 1, 1)),
		Entry("an end below what was delivered", "a0 a1 internal,ran,restart=false",
			tokens("r", "a", 0, 2), whole("a", 1)),
		Entry("another generation", "a0 a1", tokens("r", "a", 0, 1), tokens("r", "b", 1, 1), whole("b", 1), tokens("r", "a", 1, 1)),
		Entry("another request", "a0 a1", tokens("r", "a", 0, 1), tokens("s", "a", 1, 1), tokens("r", "a", 1, 1)),
		Entry("silence", "a0 resume@1 a1", tokens("r", "a", 0, 1), 2*time.Second, tokens("r", "a", 1, 1)),
		Entry("silence before the first token", "resume@0 link-lost,unknown,restart=true", 2*time.Second, 4*time.Second),
		Entry("silence for good", "a0 resume@1 resume@1 generation-lost,ran,restart=false",
			tokens("r", "a", 0, 1), 2*time.Second, 4*time.Second, 4*time.Second),
		Entry("an engine lost before the first token", "generation-lost,not-run,restart=true",
			broken("a", currantwood.KindGenerationLost)),
		Entry("an engine lost after the first token", "a0 generation-lost,ran,restart=false",
			tokens("r", "a", 0, 1), broken("a", currantwood.KindGenerationLost)),
		Entry("a refusal that no upstream would change", "quarantined,not-run,restart=false",
			broken("a", currantwood.KindQuarantined)),
		Entry("a deadline in mid-stream", "a0 deadline,ran,restart=false",
			tokens("r", "a", 0, 1), broken("a", currantwood.KindDeadline)),
		Entry("another reader took over before the first token", "taken-over,not-run,restart=false",
			broken("a", currantwood.KindTakenOver)),
		Entry("a final frame without a reason", "internal,not-run,restart=false",
			&wire.Final{RequestId: "r", GenerationId: "a"}),
	)

	It("gives a declared caller a new generation from 0 after a restart only", func() {
		declared := opts
		declared.RestartDeclared = true
		r := relayer.New("r", "c", declared)
		Expect(r.Bind(start, "a", 0)).To(BeFalse())
		Expect(run(r, tokens("r", "a", 0, 2), broken("a", currantwood.KindGenerationLost))).
			To(Equal("a0 a1 generation-lost,ran,restart=true"))
		Expect(r.Bind(start, "b", 0)).To(BeTrue())
		Expect(run(r, tokens("r", "a", 2, 1), tokens("r", "b", 0, 1), whole("a", 3), whole("b", 1))).
			To(Equal("b0 complete"))
	})

	// The pattern of issue 13: an upstream stands still after its first tokens,
	// and the caller waits for one whole answer.
	It("gives a caller of a whole answer another generation after the first tokens", func() {
		whole := opts
		whole.Whole = true
		r := relayer.New("r", "c", whole)
		Expect(r.Bind(start, "a", 0)).To(BeFalse())
		Expect(run(r, tokens("r", "a", 0, 2), broken("a", currantwood.KindGenerationLost))).
			To(HaveSuffix("restart=true"))
		Expect(r.Shown()).To(BeFalse())
		Expect(r.Bind(start, "b", 0)).To(BeFalse(), "nothing to take back")
	})

	It("counts a stream's first token as shown", func() {
		r := relayer.New("r", "c", opts)
		r.Bind(start, "a", 0)
		Expect(r.Shown()).To(BeFalse())
		run(r, tokens("r", "a", 0, 1))
		Expect(r.Shown()).To(BeTrue())
	})

	It("resumes a caller at its index and never restarts it unseen", func() {
		r := relayer.New("r", "c", opts)
		r.Bind(start, "a", 7)
		Expect(r.Relinked(start).Resume.NextIndex).To(BeEquivalentTo(7))
		Expect(run(r, tokens("r", "a", 5, 3), broken("a", currantwood.KindGenerationLost))).
			To(Equal("a7 generation-lost,ran,restart=false"))
	})

	It("acknowledges what was written, in batches and at the end", func() {
		r := relayer.New("r", "c", opts)
		r.Bind(start, "a", 0)
		run(r, tokens("r", "a", 0, 6))
		Expect(r.Written(3)).To(BeNil())
		Expect(r.Written(5).NextIndex).To(BeEquivalentTo(5))
		Expect(r.Written(9)).To(BeNil())
		run(r, whole("a", 6))
		Expect(r.Written(6).NextIndex).To(BeEquivalentTo(6))
	})

	It("delivers every token once and in order under any schedule of frames", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			r := relayer.New("r", "c", opts)
			r.Bind(start, "a", 0)
			count := rapid.IntRange(1, 20).Draw(t, "count")
			now, got, complete := start, "", false
			for range rapid.IntRange(0, 60).Draw(t, "frames") {
				now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "wait")) * time.Millisecond)
				first := rapid.IntRange(0, count-1).Draw(t, "first")
				size := rapid.IntRange(0, count-first).Draw(t, "size")
				generation := rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(t, "generation")
				request := rapid.SampledFrom([]string{"r", "r", "r", "s"}).Draw(t, "request")
				got += strings.Join(r.Tokens(now, tokens(request, generation, uint64(first), size)).Deliver, "")
				if rapid.Bool().Draw(t, "final") {
					complete = r.Final(now, whole("a", uint64(count))).Complete || complete
				}
			}
			want := strings.Join(tokens("r", "a", 0, count).Texts, "")
			if !strings.HasPrefix(want, got) {
				t.Fatalf("delivered %q of %q", got, want)
			}
			if complete && got != want {
				t.Fatalf("complete with %q of %q", got, want)
			}
		})
	})
})
