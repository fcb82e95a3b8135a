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

// learned returns an estimator that has seen plans of 400 tokens and checks of
// two.
func learned() *estimator.Estimator {
	e := estimator.New(estimator.DefaultOptions())
	for range 400 {
		e.Observe(start, "farm", "plans", 400)
		e.Observe(start, "farm", "checks", 2)
	}
	return e
}

func plan(id string) currantwood.Demand {
	return currantwood.Demand{
		Request: currantwood.RequestID(id), Customer: "farm", Rule: "plans",
		Class: currantwood.ClassStream, PromptTokens: 100, Deadline: start.Add(time.Minute),
	}
}

func check(id string) currantwood.Demand {
	d := plan(id)
	d.Rule, d.Class, d.PromptTokens = "checks", currantwood.ClassCheck, 20
	return d
}

// small returns options of an engine with room for two plans.
func small() gatekeeper.Options {
	options := gatekeeper.DefaultOptions()
	options.MemoryTokens = 1600
	options.Confidence = 0.994
	options.CheckReserve = 0.04
	return options
}

// patient is small with a queue that waits for half a minute.
func patient() gatekeeper.Options {
	options := small()
	options.MaxWait = 30 * time.Second
	return options
}

func kinds(actions []gatekeeper.Action) (all []string) {
	for _, a := range actions {
		all = append(all, fmt.Sprint(a.Kind, " ", a.Request))
	}
	return all
}

// produce gives a request its tokens up to the count.
func produce(g *gatekeeper.Gatekeeper, now time.Time, id string, from, to int) (actions []gatekeeper.Action) {
	for i := from; i < to; i++ {
		actions = append(actions, g.Token(now, currantwood.RequestID(id), currantwood.TokenIndex(i))...)
	}
	return actions
}

var _ = Describe("Gatekeeper", func() {
	var g *gatekeeper.Gatekeeper
	BeforeEach(func() { g = gatekeeper.New(small(), learned()) })

	It("refuses at the start what would fill memory in the middle", func() {
		Expect(kinds(g.Offer(start, plan("a")))).To(Equal([]string{"start a"}))
		Expect(kinds(g.Offer(start, plan("b")))).To(Equal([]string{"start b"}))
		refused := g.Offer(start, plan("c"))
		Expect(kinds(refused)).To(Equal([]string{"refuse c"}))
		refusal := refused[0].Refusal
		Expect(refusal.Kind).To(Equal(currantwood.KindNoCapacity))
		Expect(refusal.Ran).To(Equal(currantwood.NotRun))
		By("naming a time at which the same request is admitted")
		Expect(refusal.RetryAfter).To(BeNumerically(">", 100*20*time.Millisecond))
		later := start.Add(refusal.RetryAfter)
		produce(g, later, "a", 0, 400)
		produce(g, later, "b", 0, 400)
		g.Finished(later, "a")
		Expect(kinds(g.Offer(later, plan("c")))).To(Equal([]string{"start c"}))
	})

	It("keeps room for small checks beside long plans", func() {
		g.Offer(start, plan("a"))
		g.Offer(start, plan("b"))
		Expect(kinds(g.Offer(start, check("c")))).To(Equal([]string{"start c"}))
	})

	It("queues shortly what has room soon and starts it then", func() {
		g.Offer(start, plan("a"))
		g.Offer(start, plan("b"))
		produce(g, start, "a", 0, 395)
		produce(g, start, "b", 0, 100)
		queued := g.Offer(start, plan("c"))
		Expect(kinds(queued)).To(Equal([]string{"queue c"}))
		Expect(kinds(g.Finished(start, "a"))).To(Equal([]string{"start c"}))
	})

	It("gives what waited too long its final answer", func() {
		g = gatekeeper.New(patient(), learned())
		g.Offer(start, plan("a"))
		g.Offer(start, plan("b"))
		g.Offer(start, plan("c"))
		Expect(g.Tick(start.Add(29 * time.Second))).To(BeEmpty())
		late := g.Tick(start.Add(30 * time.Second))
		Expect(kinds(late)).To(Equal([]string{"refuse c"}))
		Expect(late[0].Refusal.RetryAfter).To(BeNumerically(">", 0))
	})

	It("leaves room for streams that an earlier side started", func() {
		left := currantwood.EngineLoad{MemoryTokens: 1600, UsedTokens: 700}
		g.EngineLoad(start, left)
		Expect(kinds(g.Offer(start, plan("a")))).To(Equal([]string{"start a"}))
		Expect(kinds(g.Offer(start, plan("b")))).To(Equal([]string{"refuse b"}))
		By("giving it out once they have ended")
		left.UsedTokens = 100
		g.EngineLoad(start, left)
		Expect(kinds(g.Offer(start, plan("b")))).To(Equal([]string{"start b"}))
	})

	It("refuses a request whose deadline has passed", func() {
		late := plan("a")
		late.Deadline = start
		Expect(g.Offer(start, late)[0].Refusal.Kind).To(Equal(currantwood.KindDeadline))
	})

	It("pauses the lowest priority with the least work when memory fills, and lets it run on", func() {
		options := small()
		options.Confidence, options.MemoryTokens = 1e-12, 1300
		g = gatekeeper.New(options, learned())
		important := plan("a")
		important.Priority = 5
		g.Offer(start, important)
		g.Offer(start, plan("b"))
		g.Offer(start, plan("c"))
		produce(g, start, "a", 0, 300)
		produce(g, start, "b", 0, 350)
		actions := produce(g, start, "c", 0, 400)
		Expect(kinds(actions)).To(Equal([]string{"pause c"}))
		Expect(kinds(g.Finished(start, "b"))).To(Equal([]string{"unpause c"}))
	})

	It("starts a check that waits while a stream is paused", func() {
		options := small()
		options.MemoryTokens, options.MaxRunning = 1300, 2
		options.Confidence = 1e-12
		g = gatekeeper.New(options, learned())
		g.Offer(start, plan("a"))
		g.Offer(start, plan("b"))
		g.Offer(start, check("c"))
		produce(g, start, "a", 0, 550)
		Expect(kinds(produce(g, start, "b", 0, 560))).To(ContainElement("pause b"))
		Expect(kinds(g.Tick(start))).To(Equal([]string{"start c"}))
	})

	DescribeTable("orders the queue",
		func(change func(first, second *currantwood.Demand), want string) {
			g = gatekeeper.New(patient(), learned())
			g.Offer(start, plan("a"))
			g.Offer(start, plan("b"))
			first, second := plan("first"), plan("second")
			change(&first, &second)
			g.Offer(start, first)
			g.Offer(start, second)
			Expect(kinds(g.Cancel(start, "a"))).To(Equal([]string{want}))
		},
		Entry("by arrival", func(_, _ *currantwood.Demand) {}, "start first"),
		Entry("by priority", func(_, s *currantwood.Demand) { s.Priority = 3 }, "start second"),
		Entry("promised before priority", func(f, s *currantwood.Demand) { f.Priority, s.Promised = 3, true }, "start second"),
		Entry("by what a customer was served", func(_, s *currantwood.Demand) { s.Customer = "small" }, "start second"),
	)

	It("answers each request once and keeps its counts on any schedule", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			g := gatekeeper.New(small(), learned())
			now := start
			where := map[currantwood.RequestID]gatekeeper.ActionKind{}
			produced := map[currantwood.RequestID]int{}
			take := func(actions []gatekeeper.Action) {
				for _, a := range actions {
					checkOrder(t, where[a.Request], a)
					where[a.Request] = a.Kind
				}
			}
			for i := range rapid.IntRange(1, 120).Draw(t, "events") {
				now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
				id := currantwood.RequestID(fmt.Sprint(rapid.IntRange(0, i).Draw(t, "id")))
				running := where[id] == gatekeeper.ActionStart || where[id] == gatekeeper.ActionUnpause
				switch rapid.IntRange(0, 4).Draw(t, "event") {
				case 0:
					take(g.Offer(now, plan(fmt.Sprint(i))))
				case 1:
					take(g.Tick(now))
				case 2:
					if running {
						produced[id] += 100
						take(g.Token(now, id, currantwood.TokenIndex(produced[id])))
					}
				case 3:
					if running {
						take(g.Finished(now, id))
						delete(where, id)
					}
				default:
					if where[id] != gatekeeper.ActionRefuse {
						take(g.Cancel(now, id))
						delete(where, id)
					}
				}
				checkCounts(t, g, where)
			}
		})
	})
})

// checkOrder fails when an action can't follow the last one of its request.
func checkOrder(t *rapid.T, last gatekeeper.ActionKind, a gatekeeper.Action) {
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

func checkCounts(t *rapid.T, g *gatekeeper.Gatekeeper, where map[currantwood.RequestID]gatekeeper.ActionKind) {
	var running, queued, paused int
	for _, kind := range where {
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
		t.Fatalf("counts %d/%d/%d, want %d/%d/%d", g.Running(), g.Queued(), g.Paused(), running, queued, paused)
	}
}

// BenchmarkOffer shows the cost of an admission over the streams that run.
func BenchmarkOffer(b *testing.B) {
	for _, running := range []int{8, 32, 64, 128} {
		b.Run(fmt.Sprintf("running=%d", running), func(b *testing.B) {
			g, now := loaded(running)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				g.Offer(now, plan("extra"))
				g.Cancel(now, "extra")
			}
		})
	}
}

// BenchmarkToken shows the cost of a token over the streams that run.
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

// loaded returns a gatekeeper with that many streams running.
func loaded(running int) (*gatekeeper.Gatekeeper, time.Time) {
	options := gatekeeper.DefaultOptions()
	options.MemoryTokens = 1 << 40
	options.MaxRunning = 1 << 20
	options.MaxPrefill = 1 << 30
	g := gatekeeper.New(options, learned())
	for i := range running {
		g.Offer(start, plan(fmt.Sprint(i)))
	}
	return g, start
}
