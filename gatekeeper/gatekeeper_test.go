package gatekeeper_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/estimator"
	"github.com/currantwood/currantwood/gatekeeper"
)

var start = time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)

// trainedEstimator returns an estimator that has observed streams of 400 tokens
// under the rule plans and of two tokens under the rule checks.
func trainedEstimator() *estimator.Estimator {
	e := estimator.New(estimator.DefaultOptions())
	for range 400 {
		e.Observe(start, "farm", "plans", 400)
		e.Observe(start, "farm", "checks", 2)
	}
	return e
}

// streamDemand returns a demand of the rule plans.
func streamDemand(id string) currantwood.Demand {
	return currantwood.Demand{
		Request: currantwood.RequestID(id), Customer: "farm", Rule: "plans",
		Class: currantwood.ClassStream, PromptTokens: 100, Deadline: start.Add(time.Minute),
	}
}

// checkDemand returns a demand of the rule checks.
func checkDemand(id string) currantwood.Demand {
	d := streamDemand(id)
	d.Rule, d.Class, d.PromptTokens = "checks", currantwood.ClassCheck, 20
	return d
}

// smallEngine returns options with which two demands of the rule plans fit and a
// third doesn't. With the default Confidence and ReservedShare, the third is
// started at once.
func smallEngine() gatekeeper.Options {
	options := gatekeeper.DefaultOptions()
	options.MemoryTokens = 1600
	options.Confidence = 0.994
	options.ReservedShare = 0.04
	return options
}

// longWait returns the options of smallEngine with a maximum wait of 30
// seconds.
func longWait() gatekeeper.Options {
	options := smallEngine()
	options.MaxWait = 30 * time.Second
	return options
}

// formatActions returns the kind and the request of each action.
func formatActions(actions []gatekeeper.Action) (all []string) {
	for _, a := range actions {
		all = append(all, fmt.Sprint(a.Kind, " ", a.Request))
	}
	return all
}

// produce reports the tokens first to end-1 of a request.
func produce(g *gatekeeper.Gatekeeper, now time.Time, id string, first, end int) (actions []gatekeeper.Action) {
	for i := first; i < end; i++ {
		actions = append(actions, g.Token(now, currantwood.RequestID(id), currantwood.TokenIndex(i))...)
	}
	return actions
}

var _ = Describe("Gatekeeper", func() {
	var g *gatekeeper.Gatekeeper
	BeforeEach(func() { g = gatekeeper.New(smallEngine(), trainedEstimator()) })

	It("refuses a request that would exceed memory later, with a retry time", func() {
		Expect(formatActions(g.Offer(start, streamDemand("a")))).To(Equal([]string{"start a"}))
		Expect(formatActions(g.Offer(start, streamDemand("b")))).To(Equal([]string{"start b"}))
		refused := g.Offer(start, streamDemand("c"))
		Expect(formatActions(refused)).To(Equal([]string{"refuse c"}))
		refusal := refused[0].Refusal
		Expect(refusal.Kind).To(Equal(currantwood.KindNoCapacity))
		Expect(refusal.Ran).To(Equal(currantwood.NotRun))
		By("admitting the same request at the retry time, after another has ended")
		// The running streams have just begun and take about 400 steps.
		Expect(refusal.RetryAfter).To(BeNumerically(">", 100*20*time.Millisecond))
		later := start.Add(refusal.RetryAfter)
		produce(g, later, "a", 0, 400)
		produce(g, later, "b", 0, 400)
		g.Finished(later, "a")
		Expect(formatActions(g.Offer(later, streamDemand("c")))).To(Equal([]string{"start c"}))
	})

	It("reserves memory for checks", func() {
		g.Offer(start, streamDemand("a"))
		g.Offer(start, streamDemand("b"))
		Expect(formatActions(g.Offer(start, checkDemand("c")))).To(Equal([]string{"start c"}))
	})

	It("queues a request that fits soon and starts it when it fits", func() {
		g.Offer(start, streamDemand("a"))
		g.Offer(start, streamDemand("b"))
		produce(g, start, "a", 0, 395)
		produce(g, start, "b", 0, 100)
		queued := g.Offer(start, streamDemand("c"))
		Expect(formatActions(queued)).To(Equal([]string{"queue c"}))
		Expect(formatActions(g.Finished(start, "a"))).To(Equal([]string{"start c"}))
	})

	It("refuses a request that has waited too long", func() {
		g = gatekeeper.New(longWait(), trainedEstimator())
		g.Offer(start, streamDemand("a"))
		g.Offer(start, streamDemand("b"))
		g.Offer(start, streamDemand("c"))
		Expect(g.Tick(start.Add(29 * time.Second))).To(BeEmpty())
		late := g.Tick(start.Add(30 * time.Second))
		Expect(formatActions(late)).To(Equal([]string{"refuse c"}))
		Expect(late[0].Refusal.RetryAfter).To(BeNumerically(">", 0))
	})

	It("subtracts the memory of an earlier incarnation's streams from the available memory", func() {
		load := currantwood.EngineLoad{MemoryTokens: 1600, UsedTokens: 700}
		g.ObserveEngineLoad(start, load)
		Expect(formatActions(g.Offer(start, streamDemand("a")))).To(Equal([]string{"start a"}))
		Expect(formatActions(g.Offer(start, streamDemand("b")))).To(Equal([]string{"refuse b"}))
		By("making it available again after they have ended")
		load.UsedTokens = 100
		g.ObserveEngineLoad(start, load)
		Expect(formatActions(g.Offer(start, streamDemand("b")))).To(Equal([]string{"start b"}))
	})

	It("refuses a request whose deadline has passed", func() {
		late := streamDemand("a")
		late.Deadline = start
		Expect(g.Offer(start, late)[0].Refusal.Kind).To(Equal(currantwood.KindDeadline))
	})

	It("pauses the lowest priority with the smallest context when memory fills, and unpauses it later", func() {
		options := smallEngine()
		// At so low a confidence nearly everything is admitted, so memory fills.
		options.Confidence, options.MemoryTokens = 1e-12, 1300
		g = gatekeeper.New(options, trainedEstimator())
		important := streamDemand("a")
		important.Priority = 5
		g.Offer(start, important)
		g.Offer(start, streamDemand("b"))
		g.Offer(start, streamDemand("c"))
		produce(g, start, "a", 0, 300)
		produce(g, start, "b", 0, 350)
		actions := produce(g, start, "c", 0, 400)
		Expect(formatActions(actions)).To(Equal([]string{"pause c"}))
		Expect(formatActions(g.Finished(start, "b"))).To(Equal([]string{"unpause c"}))
	})

	It("starts a queued check while a stream is paused", func() {
		options := smallEngine()
		options.MemoryTokens, options.MaxRunning = 1300, 2
		// At so low a confidence nearly everything is admitted, so memory fills.
		options.Confidence = 1e-12
		g = gatekeeper.New(options, trainedEstimator())
		g.Offer(start, streamDemand("a"))
		g.Offer(start, streamDemand("b"))
		g.Offer(start, checkDemand("c"))
		produce(g, start, "a", 0, 550)
		Expect(formatActions(produce(g, start, "b", 0, 560))).To(ContainElement("pause b"))
		Expect(formatActions(g.Tick(start))).To(Equal([]string{"start c"}))
	})

	DescribeTable("orders the queue",
		func(change func(first, second *currantwood.Demand), want string) {
			g = gatekeeper.New(longWait(), trainedEstimator())
			g.Offer(start, streamDemand("a"))
			g.Offer(start, streamDemand("b"))
			first, second := streamDemand("first"), streamDemand("second")
			change(&first, &second)
			g.Offer(start, first)
			g.Offer(start, second)
			Expect(formatActions(g.Aborted(start, "a"))).To(Equal([]string{want}))
		},
		Entry("by arrival", func(_, _ *currantwood.Demand) {}, "start first"),
		Entry("by priority", func(_, s *currantwood.Demand) { s.Priority = 3 }, "start second"),
		Entry("by promise, then by priority", func(f, s *currantwood.Demand) { f.Priority, s.Promised = 3, true }, "start second"),
		Entry("by fair share of customers", func(_, s *currantwood.Demand) { s.Customer = "small" }, "start second"),
	)

	It("returns valid actions and consistent counts for any sequence of events", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			g := gatekeeper.New(smallEngine(), trainedEstimator())
			now := start
			lastAction := map[currantwood.RequestID]gatekeeper.ActionKind{}
			produced := map[currantwood.RequestID]int{}
			apply := func(actions []gatekeeper.Action) {
				for _, a := range actions {
					expectOrder(t, lastAction[a.Request], a)
					lastAction[a.Request] = a.Kind
				}
			}
			for i := range rapid.IntRange(1, 120).Draw(t, "events") {
				now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
				id := currantwood.RequestID(fmt.Sprint(rapid.IntRange(0, i).Draw(t, "id")))
				running := lastAction[id] == gatekeeper.ActionStart || lastAction[id] == gatekeeper.ActionUnpause
				switch rapid.IntRange(0, 4).Draw(t, "event") {
				case 0:
					apply(g.Offer(now, streamDemand(fmt.Sprint(i))))
				case 1:
					apply(g.Tick(now))
				case 2:
					if running {
						produced[id] += 100
						apply(g.Token(now, id, currantwood.TokenIndex(produced[id])))
					}
				case 3:
					if running {
						apply(g.Finished(now, id))
						delete(lastAction, id)
					}
				default:
					if lastAction[id] != gatekeeper.ActionRefuse {
						apply(g.Aborted(now, id))
						delete(lastAction, id)
					}
				}
				expectCounts(t, g, lastAction)
			}
		})
	})
})

// expectOrder fails the test if a is not a valid successor of the last action of
// its request.
func expectOrder(t *rapid.T, last gatekeeper.ActionKind, a gatekeeper.Action) {
	const none = gatekeeper.ActionKind(0)
	follows := map[gatekeeper.ActionKind][]gatekeeper.ActionKind{
		gatekeeper.ActionStart:   {none, gatekeeper.ActionQueue},
		gatekeeper.ActionQueue:   {none},
		gatekeeper.ActionRefuse:  {none, gatekeeper.ActionQueue},
		gatekeeper.ActionPause:   {gatekeeper.ActionStart, gatekeeper.ActionUnpause},
		gatekeeper.ActionUnpause: {gatekeeper.ActionPause},
	}
	for _, allowed := range follows[a.Kind] {
		if last == allowed {
			return
		}
	}
	t.Fatalf("%s of %s after %s", a.Kind, a.Request, last)
}

// expectCounts fails the test if the counts of g differ from those of the last
// actions.
func expectCounts(t *rapid.T, g *gatekeeper.Gatekeeper, lastAction map[currantwood.RequestID]gatekeeper.ActionKind) {
	var running, queued, paused int
	for _, kind := range lastAction {
		switch kind {
		case gatekeeper.ActionStart, gatekeeper.ActionUnpause:
			running++
		case gatekeeper.ActionQueue:
			queued++
		case gatekeeper.ActionPause:
			paused++
		}
	}
	if g.Running() != running || g.Queued() != queued || g.Paused() != paused {
		t.Fatalf("running/queued/paused %d/%d/%d, want %d/%d/%d", g.Running(), g.Queued(), g.Paused(), running, queued, paused)
	}
}

// BenchmarkOffer measures the cost of an admission by the number of running
// streams.
func BenchmarkOffer(b *testing.B) {
	for _, running := range []int{8, 32, 64, 128} {
		b.Run(fmt.Sprintf("running=%d", running), func(b *testing.B) {
			g, now := loaded(running)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				g.Offer(now, streamDemand("extra"))
				g.Aborted(now, "extra")
			}
		})
	}
}

// BenchmarkToken measures the cost of a token by the number of running streams.
func BenchmarkToken(b *testing.B) {
	for _, running := range []int{8, 32, 64, 128} {
		b.Run(fmt.Sprintf("running=%d", running), func(b *testing.B) {
			g, now := loaded(running)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				id := i % running
				g.Token(now, currantwood.RequestID(fmt.Sprint(id)), currantwood.TokenIndex(i/running))
				i++
			}
		})
	}
}

// loaded returns a gatekeeper with the given number of running streams.
func loaded(running int) (*gatekeeper.Gatekeeper, time.Time) {
	options := gatekeeper.DefaultOptions()
	options.MemoryTokens = 1 << 40
	options.MaxRunning = 1 << 20
	options.MaxPrefill = 1 << 30
	g := gatekeeper.New(options, trainedEstimator())
	for i := range running {
		g.Offer(start, streamDemand(fmt.Sprint(i)))
	}
	return g, start
}
