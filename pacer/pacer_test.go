package pacer

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	gapTarget = 180 * time.Millisecond
	ms        = time.Millisecond
)

var start = time.Unix(1_700_000_000, 0)

// handover is a run that is taken over: the upstream it leaves makes an event
// each old; the next one is asked at 0, makes its first event after opening and
// the others each young.
type handover struct{ old, opening, young time.Duration }

// longestPause plays the handover to a client and returns its longest pause and
// the longest time that an event was kept.
func (h handover) longestPause(paced bool) (pause, kept time.Duration) {
	p := New(gapTarget)
	p.Delivered(start)
	last, given := start, 0
	for event := 1; ; event++ {
		made := start.Add(time.Duration(event) * h.old)
		at := later(made, last)
		if paced {
			at = at.Add(p.Delay(at))
		}
		if at.Sub(start) > h.opening {
			break
		}
		pause, kept = max(pause, at.Sub(last)), max(kept, at.Sub(made))
		p.Delivered(at)
		last, given = at, event
	}
	next := start.Add(h.opening + time.Duration(given)*h.young)
	return max(pause, next.Sub(last)), kept
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// Load pattern: every 3 s a few engines leave and each of their runs goes on at a
// crowded one, which takes 50 to 300 ms to its first event.
var _ = DescribeTable("a run that another engine takes over: no pause that is too long for its client",
	func(h handover) {
		plain, _ := h.longestPause(false)
		Expect(plain).To(BeNumerically(">", gapTarget), "not paced")
		pause, kept := h.longestPause(true)
		Expect(pause).To(BeNumerically("<=", gapTarget))
		Expect(kept).To(BeNumerically("<", 250*ms))
	},
	Entry("a slow start", handover{old: 40 * ms, opening: 160 * ms, young: 50 * ms}),
	Entry("a slower one", handover{old: 40 * ms, opening: 220 * ms, young: 50 * ms}),
	Entry("at an engine that reads prompts beside", handover{old: 36 * ms, opening: 150 * ms, young: 64 * ms}),
	Entry("a very slow start", handover{old: 40 * ms, opening: 290 * ms, young: 45 * ms}),
)

var _ = DescribeTable("keeps an event",
	func(target, since, want time.Duration) {
		p := New(target)
		if since > 0 {
			p.Delivered(start.Add(-since))
		}
		Expect(p.Delay(start)).To(Equal(want))
	},
	Entry("until two thirds of the longest pause have passed", 150*ms, 30*ms, 70*ms),
	Entry("no longer than an event may be kept", 3*time.Second, 30*ms, 90*ms),
	Entry("not, when it came late itself", 150*ms, 130*ms, time.Duration(0)),
	Entry("not, where no longest pause is stated", time.Duration(0), 30*ms, time.Duration(0)),
	Entry("not, when it is the first", 150*ms, time.Duration(0), time.Duration(0)),
)
