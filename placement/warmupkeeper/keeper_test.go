package warmupkeeper

import (
	"math/rand"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
)

var start = time.Unix(1000, 0)

// statement is one event: a record, a response or what another gateway tells, after some
// seconds.
type statement struct {
	after       float64
	source      Source
	incarnation int64
	// left is the remaining warm-up time in seconds, 0 if the upstream is warm.
	left float64
	// sent is after how many seconds the request of a response was sent; as after if 0.
	sent float64
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func apply(k *Keeper, statements []statement) []Change {
	var changes []Change
	for _, s := range statements {
		now, u := start.Add(seconds(s.after)), Upstream{ID: "u", Group: "g", Incarnation: s.incarnation}
		sentAt := now
		if s.sent > 0 {
			sentAt = start.Add(seconds(s.sent))
		}
		var change Change
		switch s.source {
		case Record:
			change = k.ApplyRecord(now, u, now.Add(seconds(s.left)))
		case Response:
			change = k.Observe(now, sentAt, u, currantwood.WarmUp{Known: true, Left: seconds(s.left)})
		case Peer:
			change = k.Learn(now, Period{Upstream: u, Until: now.Add(seconds(s.left))})
		}
		if change != (Change{}) {
			changes = append(changes, change)
		}
	}
	return changes
}

// newTestKeeper returns the keeper of a gateway that has no others.
func newTestKeeper(rate float64) *Keeper {
	k := New(Options{MinGateways: 1, Overage: 1.5, Slack: 5}, rand.New(rand.NewSource(1)))
	k.SetLimit("g", rate)
	return k
}

var _ = Describe("Keeper", func() {
	// Guards against an older statement that makes a cold upstream warm, and against a
	// gateway that never notices that it is warm.
	DescribeTable("goes by the newest statement",
		func(statements []statement, after float64, incarnation int64, cold bool) {
			k := newTestKeeper(36)
			apply(k, statements)
			Expect(k.IsLimited(start.Add(seconds(after)), Upstream{ID: "u", Group: "g", Incarnation: incarnation})).To(Equal(cold))
		},
		Entry("none", nil, 0.0, int64(1), false),
		Entry("a cold record", []statement{{0, Record, 1, 9, 0}}, 8.0, int64(1), true),
		Entry("a cold record whose time is over", []statement{{0, Record, 1, 9, 0}}, 9.0, int64(1), false),
		Entry("a cold response", []statement{{0, Response, 1, 9, 0}}, 8.0, int64(1), true),
		Entry("what another gateway tells", []statement{{0, Peer, 1, 9, 0}}, 8.0, int64(1), true),
		Entry("cold again by a record", []statement{{0, Record, 1, 2, 0}, {1, Record, 1, 0, 0}, {5, Record, 1, 9, 0}}, 8.0, int64(1), true),
		Entry("cold again by a response", []statement{{0, Record, 1, 2, 0}, {5, Response, 1, 9, 0}}, 8.0, int64(1), true),
		Entry("warm by a later record", []statement{{0, Record, 1, 9, 0}, {1, Record, 1, 0, 0}}, 2.0, int64(1), false),
		Entry("warm by a record after a cold response", []statement{{0, Response, 1, 9, 0}, {1, Record, 1, 0, 0}}, 2.0, int64(1), true),
		Entry("warm by a response to a request sent after the record", []statement{{0, Record, 1, 9, 0}, {2, Response, 1, 0, 1}}, 3.0, int64(1), false),
		Entry("warm by a response to a request sent before the record", []statement{{1, Record, 1, 9, 0}, {2, Response, 1, 0, 0.5}}, 3.0, int64(1), true),
		Entry("warm by a response that a frozen gateway reads late", []statement{{1, Peer, 1, 9, 0}, {2, Response, 1, 0, 0.5}}, 3.0, int64(1), true),
		Entry("a shorter time by a later response", []statement{{0, Response, 1, 9, 0}, {1, Response, 1, 1, 0}}, 3.0, int64(1), false),
		Entry("a shorter time by an earlier response", []statement{{1, Response, 1, 9, 0}, {1.1, Response, 1, 1, 0.9}}, 3.0, int64(1), true),
		Entry("a shorter time by another gateway", []statement{{0, Response, 1, 9, 0}, {1, Peer, 1, 1, 0}}, 3.0, int64(1), true),
		Entry("a warm later incarnation", []statement{{0, Record, 1, 9, 0}, {1, Record, 2, 0, 0}}, 2.0, int64(2), false),
		Entry("a cold later incarnation", []statement{{0, Record, 1, 0, 0}, {1, Record, 2, 9, 0}}, 2.0, int64(2), true),
		Entry("a warm earlier incarnation", []statement{{0, Record, 2, 9, 0}, {1, Record, 1, 0, 0}, {2, Response, 1, 0, 0}}, 3.0, int64(2), true),
		Entry("a request picked for an earlier incarnation", []statement{{0, Record, 2, 9, 0}}, 3.0, int64(1), true),
	)

	It("doesn't limit groups without a warm-up rate", func() {
		k := newTestKeeper(0)
		apply(k, []statement{{0, Record, 1, 9, 0}})
		for range 1000 {
			Expect(k.Admits(start, modelUpstream)).To(BeTrue())
			k.Sent(start, "u")
			Expect(k.AdmitsPicked(start.Add(time.Second), start, modelUpstream)).To(BeTrue())
		}
	})

	// Guards against log lines that are missing or repeated.
	It("reports the begin and the end of each cold period once, with the source", func() {
		k := newTestKeeper(36)
		u2 := Upstream{ID: "u", Group: "g", Incarnation: 2}
		Expect(apply(k, []statement{{0, Record, 1, 9, 0}, {1, Response, 1, 8, 0}, {2, Peer, 1, 30, 0}, {3, Response, 1, 0, 0}, {4, Peer, 2, 2, 0}})).To(Equal([]Change{
			{Upstream: modelUpstream, Source: Record, Cold: true, Left: 9 * time.Second},
			{Upstream: modelUpstream, Source: Response},
			{Upstream: u2, Source: Peer, Cold: true, Left: 2 * time.Second},
		}))
		Expect(k.Tick(start.Add(5 * time.Second))).To(BeEmpty())
		Expect(k.Tick(start.Add(6 * time.Second))).To(Equal([]Change{{Upstream: u2, Source: Elapsed}}))
		Expect(k.Tick(start.Add(7 * time.Second))).To(BeEmpty())
	})

	// Guards against gateways that lengthen a cold period by telling each other of it.
	It("tells others what responses said, for a while, and not what it was told of a known period", func() {
		k := newTestKeeper(36)
		apply(k, []statement{{0, Response, 1, 9, 0}, {0.5, Peer, 1, 9.4, 0}})
		period := Period{Upstream: modelUpstream, Until: start.Add(9 * time.Second)}
		Expect(k.Heard(start.Add(time.Second))).To(ConsistOf(period))
		Expect(k.Known(start.Add(time.Second), false)).To(ConsistOf(period))
		Expect(k.Heard(start.Add(3 * time.Second))).To(BeEmpty())
		Expect(k.Known(start.Add(3*time.Second), false)).To(BeEmpty())
		Expect(k.Known(start.Add(3*time.Second), true)).To(ConsistOf(period))
		Expect(k.Known(start.Add(9*time.Second), true)).To(BeEmpty())
	})

	// Guards against a request that leaves without a share: its pick was before the
	// upstream was known to be cold, or the process was frozen since.
	DescribeTable("asks again at the moment of sending",
		func(coldAt, pickedAt, sentAt float64, takesShare bool) {
			k := newTestKeeper(36)
			apply(k, []statement{{coldAt, Record, 1, 60, 0}})
			now := start.Add(seconds(sentAt))
			k.SetFleet(now, nil, 1)
			admitted := 0
			for range 100 {
				if k.AdmitsPicked(now, start.Add(seconds(pickedAt)), modelUpstream) {
					admitted++
				}
			}
			if takesShare {
				Expect(admitted).To(BeNumerically("<", 10))
			} else {
				Expect(admitted).To(Equal(100))
			}
		},
		Entry("picked a moment ago", 1.0, 5.0, 5.05, false),
		Entry("picked before a freeze", 1.0, 5.0, 8.0, true),
		Entry("picked before it was known to be cold", 5.02, 5.0, 5.05, true),
	)

	// Guards against a process that takes the whole rate since it doesn't know the others.
	It("has no share before it has heard one of the others that its settings name", func() {
		k := New(Options{MinGateways: 4, Overage: 1.5, Slack: 5}, rand.New(rand.NewSource(1)))
		k.SetLimit("g", 36)
		apply(k, []statement{{0, Record, 1, 60, 0}})
		now := start
		for range 500 {
			now = now.Add(10 * time.Millisecond)
			k.SetFleet(now, nil, 1)
			Expect(k.Admits(now, modelUpstream)).To(BeFalse())
			Expect(k.Wait(now, modelUpstream)).To(BeNumerically(">", 0))
		}
		for range 300 {
			now = now.Add(10 * time.Millisecond)
			k.SetFleet(now, nil, 4)
		}
		Expect(k.Admits(now, modelUpstream)).To(BeTrue())
		Expect(k.Share(now, "u")).To(BeNumerically("~", 9, 0.01))
	})
})
