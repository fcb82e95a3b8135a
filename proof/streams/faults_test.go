package streams_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	callers  = 24
	tokens   = 120
	perSec   = 150
	firstGot = 15
)

// fault breaks a part of a running system.
type fault struct {
	name string
	// strike is called while every stream is running.
	strike func(w *world)
	// loses says that generations may be lost for good.
	loses bool
}

var faults = []fault{
	{name: "nothing", strike: func(*world) {}},
	{name: "entry killed", strike: func(w *world) { w.killEntry(0) }},
	{name: "side killed", strike: func(w *world) { w.killSide(w.engines[0]) }},
	{name: "engine killed", loses: true, strike: func(w *world) { w.engines[1].kill() }},
	{name: "links silent both ways", strike: func(w *world) { w.freezeLinks(true, true) }},
	{name: "links silent towards the sides", strike: func(w *world) { w.freezeLinks(true, false) }},
	{name: "links silent towards the entries", strike: func(w *world) { w.freezeLinks(false, true) }},
	{name: "links cut", strike: func(w *world) {
		for _, n := range w.engines {
			w.link(n).CutOpen()
		}
	}},
	{name: "engine connections cut", strike: func(w *world) {
		for _, n := range w.engines {
			n.between.CutOpen()
		}
	}},
	{name: "callers cut off", strike: func(w *world) {
		for _, e := range w.entries {
			e.callers.CutOpen()
		}
	}},
}

func (w *world) freezeLinks(up, down bool) {
	for _, n := range w.engines {
		w.link(n).FreezeOpen(up, down)
	}
}

// liveAddresses are the entries that a caller can turn to, from number first.
func (w *world) liveAddresses(first int) []string {
	var live []string
	for i := range w.entries {
		if e := w.entries[(first+i)%len(w.entries)]; !e.dead {
			live = append(live, e.callers.Address())
		}
	}
	return live
}

// run reads streams, strikes once all of them run, and returns the callers.
func run(w *world, restarts bool, strikes ...func(*world)) []*caller {
	all := make([]*caller, callers)
	var started atomic.Int32
	var wait sync.WaitGroup
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	var mu sync.Mutex
	for i := range all {
		c := &caller{customer: "chambers", restarts: restarts, addresses: func() []string {
			mu.Lock()
			defer mu.Unlock()
			return w.liveAddresses(i)
		}}
		all[i] = c
		wait.Add(1)
		go func() {
			defer wait.Done()
			counted := false
			c.read(ctx, body(true, fmt.Sprint("stream ", i), tokens), func() {
				if !counted && len(c.texts) == firstGot {
					counted = true
					started.Add(1)
				}
			})
		}()
	}
	Eventually(started.Load, bound).Should(BeEquivalentTo(callers))
	mu.Lock()
	for _, strike := range strikes {
		strike(w)
	}
	mu.Unlock()
	wait.Wait()
	return all
}

// check holds every caller to the rules and returns how many ended whole.
func check(all []*caller, mayLose bool) int {
	marks := make(map[string]int)
	whole := 0
	for i, c := range all {
		Expect(c.fault()).To(BeEmpty(), "caller %d", i)
		marks[c.mark()]++
		if c.done {
			Expect(c.texts).To(HaveLen(tokens), "caller %d: a truncated answer was passed off as whole", i)
			whole++
			continue
		}
		Expect(mayLose).To(BeTrue(), "caller %d lost its stream: %+v, %v", i, c.failure, c.err)
		Expect(c.failure).NotTo(BeNil(), "caller %d: %v", i, c.err)
		Expect(c.failure.kind()).To(Equal("generation-lost"), "caller %d", i)
		Expect(c.failure.Ran).To(Equal("ran"), "caller %d", i)
		Expect(c.failure.RetryAfterMS).To(BeNumerically(">", 0), "caller %d", i)
	}
	Expect(marks).To(HaveLen(len(all)), "every caller has a generation of its own")
	return whole
}

var _ = Describe("Token streams under faults", func() {
	for i, first := range faults {
		for _, second := range faults[i:] {
			if second.name == first.name && i > 0 || i == 0 && second.name == "nothing" {
				continue
			}
			It(fmt.Sprintf("%s, %s", first.name, second.name), func() {
				w := newWorld(3, 3, perSec)
				whole := check(run(w, false, first.strike, second.strike), first.loses || second.loses)
				Expect(whole).To(BeNumerically(">", 0))
			})
		}
	}

	It("gives declared callers a whole new generation after a restart event", func() {
		w := newWorld(3, 2, perSec)
		all := run(w, true, func(w *world) { w.engines[1].kill() })
		Expect(check(all, false)).To(Equal(callers))
		restarted := 0
		for _, c := range all {
			restarted += c.restarted
		}
		Expect(restarted).To(BeNumerically(">", 0))
	})
})
