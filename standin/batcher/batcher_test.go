package batcher_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/standin/batcher"
)

// runUntilIdle steps until nothing is left to run and returns the number of
// tokens of each stream. It checks that each stream's tokens come in order.
func runUntilIdle(b *batcher.Batcher) map[currantwood.EngineStreamID]int {
	got := map[currantwood.EngineStreamID]int{}
	for {
		result := b.Step()
		if result.Duration == 0 {
			return got
		}
		for _, e := range result.Emissions {
			Expect(int(e.Index)).To(Equal(got[e.Stream]), "tokens of one stream come in order")
			got[e.Stream]++
		}
	}
}

var _ = Describe("Batcher", func() {
	options := batcher.DefaultOptions()

	It("slows down as the batch grows", func() {
		small, large := batcher.New(options), batcher.New(options)
		for i := range 40 {
			job := batcher.Job{Stream: currantwood.EngineStreamID(fmt.Sprint(i)), PromptTokens: 8, OutputTokens: 100}
			large.Add(job)
			if i == 0 {
				small.Add(job)
			}
		}
		small.Step()
		large.Step()
		Expect(large.Step().Duration).To(BeNumerically(">", small.Step().Duration))
	})

	It("preempts the latest arrival when memory fills and recomputes it later", func() {
		options := options
		options.MemoryTokens = 100
		b := batcher.New(options)
		b.Add(batcher.Job{Stream: "first", PromptTokens: 40, OutputTokens: 50})
		b.Add(batcher.Job{Stream: "last", PromptTokens: 40, OutputTokens: 50})
		Expect(runUntilIdle(b)).To(Equal(map[currantwood.EngineStreamID]int{"first": 50, "last": 50}))
		Expect(b.Counts().Preemptions).To(BeEquivalentTo(1))
		Expect(b.Counts().RepeatedTokens).To(BeNumerically(">=", 40))
	})

	It("preempts the stream of lower priority and completes the higher one first", func() {
		options := options
		options.MemoryTokens = 100
		b := batcher.New(options)
		b.Add(batcher.Job{Stream: "low", Priority: 1, PromptTokens: 40, OutputTokens: 50})
		b.Add(batcher.Job{Stream: "high", Priority: 5, PromptTokens: 40, OutputTokens: 50})
		order := []currantwood.EngineStreamID{}
		for r := b.Step(); r.Duration > 0; r = b.Step() {
			for _, e := range r.Emissions {
				if e.Last {
					order = append(order, e.Stream)
				}
			}
		}
		Expect(order).To(Equal([]currantwood.EngineStreamID{"high", "low"}))
	})

	It("frees a paused stream's memory and resumes at its next token", func() {
		b := batcher.New(options)
		b.Add(batcher.Job{Stream: "a", PromptTokens: 40, OutputTokens: 30})
		b.Step()
		Expect(b.Pause("a")).To(BeTrue())
		Expect(b.Load().UsedTokens).To(BeZero())
		Expect(b.Step().Duration).To(BeZero())
		Expect(b.Unpause("a")).To(BeTrue())
		Expect(b.Step().Emissions[0].Index).To(BeEquivalentTo(1))
		Expect(b.Cancel("a")).To(BeTrue())
		Expect(b.Cancel("a")).To(BeFalse())
	})

	It("skips the prefill of a cached prefix and evicts the least recently used one", func() {
		options := options
		options.CacheTokens = 100
		b := batcher.New(options)
		for i, prefix := range []currantwood.PrefixID{1, 1, 2, 1} {
			b.Add(batcher.Job{
				Stream: currantwood.EngineStreamID(fmt.Sprint(i)), PromptTokens: 90,
				Prefix: prefix, PrefixTokens: 80, OutputTokens: 1,
			})
			runUntilIdle(b)
		}
		Expect(b.Counts().CacheHitTokens).To(BeEquivalentTo(80))
		Expect(b.CacheEvents(2)).To(Equal([]currantwood.CacheEvent{
			{Seq: 3, Prefix: 2, Tokens: 80},
			{Seq: 4, Prefix: 2, Tokens: 80, Evicted: true},
			{Seq: 5, Prefix: 1, Tokens: 80},
		}))
	})

	It("stays within memory and produces all tokens of each stream on any schedule", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			options := options
			options.MemoryTokens = 200
			b := batcher.New(options)
			want := map[currantwood.EngineStreamID]int{}
			got := map[currantwood.EngineStreamID]int{}
			newest := currantwood.EngineStreamID("")
			for i := range rapid.IntRange(1, 60).Draw(t, "events") {
				id := currantwood.EngineStreamID(fmt.Sprint(i))
				switch rapid.IntRange(0, 3).Draw(t, "event") {
				case 0:
					length := rapid.IntRange(1, 60).Draw(t, "length")
					b.Add(batcher.Job{Stream: id, PromptTokens: 20, OutputTokens: currantwood.TokenCount(length)})
					want[id] = length
					newest = id
				case 1:
					b.Pause(newest)
				case 2:
					b.Unpause(newest)
				default:
				}
				countTokens(t, b.Step(), got)
				if load := b.Load(); load.UsedTokens > load.MemoryTokens {
					t.Fatalf("%d tokens used of a memory of %d", load.UsedTokens, load.MemoryTokens)
				}
			}
			for id := range want {
				b.Unpause(id)
			}
			for r := b.Step(); r.Duration > 0; r = b.Step() {
				countTokens(t, r, got)
			}
			if fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("got %v, want %v", got, want)
			}
		})
	})
})

// countTokens adds a step's tokens to got and checks that each stream's tokens
// come in order.
func countTokens(t *rapid.T, r batcher.Result, got map[currantwood.EngineStreamID]int) {
	for _, e := range r.Emissions {
		if int(e.Index) != got[e.Stream] {
			t.Fatalf("stream %s: index %d after %d tokens", e.Stream, e.Index, got[e.Stream])
		}
		got[e.Stream]++
	}
}
