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

// move is a run that is moved to another upstream. The old upstream generates an
// event every oldInterval. At time 0 the new one is asked to resume. It generates
// its first event after firstEventDelay and then one every newInterval.
type move struct{ oldInterval, firstEventDelay, newInterval time.Duration }

// longestPause simulates the move and returns the client's longest pause
// and the longest time that an event was delayed.
func (m move) longestPause(paced bool) (pause, delayed time.Duration) {
	p := New(gapTarget)
	p.Delivered(start)
	last, delivered := start, 0
	for event := 1; ; event++ {
		generated := start.Add(time.Duration(event) * m.oldInterval)
		at := later(generated, last)
		if paced {
			at = at.Add(p.Delay(at))
		}
		if at.Sub(start) > m.firstEventDelay {
			break
		}
		pause, delayed = max(pause, at.Sub(last)), max(delayed, at.Sub(generated))
		p.Delivered(at)
		last, delivered = at, event
	}
	next := start.Add(m.firstEventDelay + time.Duration(delivered)*m.newInterval)
	return max(pause, next.Sub(last)), delayed
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// If a few engines leave every 3 s, their runs resume at busy engines, which
// take 50 to 300 ms to the first event. Without pacing, the client's longest
// pause exceeds the target.
var _ = DescribeTable("keeps the client's pauses within the gap target while a run is moved",
	func(m move) {
		unpaced, _ := m.longestPause(false)
		Expect(unpaced).To(BeNumerically(">", gapTarget), "without pacing")
		pause, delayed := m.longestPause(true)
		Expect(pause).To(BeNumerically("<=", gapTarget))
		Expect(delayed).To(BeNumerically("<", 250*ms))
	},
	Entry("a slow start", move{oldInterval: 40 * ms, firstEventDelay: 160 * ms, newInterval: 50 * ms}),
	Entry("a slower start", move{oldInterval: 40 * ms, firstEventDelay: 220 * ms, newInterval: 50 * ms}),
	Entry("an engine that prefills prompts meanwhile", move{oldInterval: 36 * ms, firstEventDelay: 150 * ms, newInterval: 64 * ms}),
	Entry("a very slow start", move{oldInterval: 40 * ms, firstEventDelay: 290 * ms, newInterval: 45 * ms}),
)

var _ = DescribeTable("Delay",
	func(target, since, want time.Duration) {
		p := New(target)
		if since > 0 {
			p.Delivered(start.Add(-since))
		}
		Expect(p.Delay(start)).To(Equal(want))
	},
	Entry("holds an event back until two thirds of the gap target have passed", 150*ms, 30*ms, 70*ms),
	Entry("is bounded by maxGap", 3*time.Second, 30*ms, 90*ms),
	Entry("is zero for an event that is late already", 150*ms, 130*ms, time.Duration(0)),
	Entry("is zero without a gap target", time.Duration(0), 30*ms, time.Duration(0)),
	Entry("is zero for the first event", 150*ms, time.Duration(0), time.Duration(0)),
)
