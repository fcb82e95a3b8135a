package prober

import (
	"fmt"
	"math/rand"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/currantwood/currantwood"
)

var start = time.Unix(1_700_000_000, 0)

const stallTimeout = time.Second

// at returns the time some milliseconds after start.
func at(ms int) time.Time {
	return start.Add(time.Duration(ms) * time.Millisecond)
}

func upstreams(count int) []currantwood.UpstreamID {
	ids := make([]currantwood.UpstreamID, count)
	for i := range ids {
		ids[i] = currantwood.UpstreamID(fmt.Sprintf("upstream-%d", i))
	}
	return ids
}

func newProber(count int) *Prober {
	p := New(Options{}, rand.New(rand.NewSource(1)))
	p.SetUpstreams(upstreams(count))
	return p
}

var _ = Describe("Prober", func() {
	DescribeTable("judges the health of one upstream of four",
		func(events func(p *Prober), wantStalled bool, wantAdmits bool) {
			p := newProber(4)
			events(p)
			stalled := p.EjectStalled(at(1600))
			Expect(len(stalled) > 0).To(Equal(wantStalled))
			Expect(p.Admits(at(1600), "upstream-0")).To(Equal(wantAdmits))
		},
		Entry("idle", func(*Prober) {}, false, true),
		Entry("no progress since the start", func(p *Prober) {
			p.Started(at(0), "upstream-0", stallTimeout)
		}, true, false),
		Entry("no progress while more requests are sent to it", func(p *Prober) {
			for ms := range 15 {
				p.Started(at(ms*100), "upstream-0", stallTimeout)
			}
		}, true, false),
		Entry("progress of any of its requests", func(p *Prober) {
			p.Started(at(0), "upstream-0", stallTimeout)
			p.Started(at(0), "upstream-0", stallTimeout)
			p.Progressed(at(700), "upstream-0")
		}, false, true),
		Entry("its only request is queued", func(p *Prober) {
			p.Started(at(0), "upstream-0", stallTimeout)
			p.Queued(at(10), "upstream-0", 3*time.Second)
		}, false, true),
		Entry("a request is queued behind one without progress", func(p *Prober) {
			p.Started(at(0), "upstream-0", stallTimeout)
			p.Started(at(10), "upstream-0", stallTimeout)
			p.Queued(at(20), "upstream-0", 3*time.Second)
		}, true, false),
		Entry("the request ended in time", func(p *Prober) {
			p.Started(at(0), "upstream-0", stallTimeout)
			p.Ended(at(500), "upstream-0", true)
		}, false, true),
		Entry("three failures in a row", func(p *Prober) {
			for range 3 {
				p.Started(at(100), "upstream-0", stallTimeout)
				p.Ended(at(200), "upstream-0", false)
			}
		}, false, false),
		Entry("failures with a success between", func(p *Prober) {
			for _, ok := range []bool{false, false, true, false, false} {
				p.Started(at(100), "upstream-0", stallTimeout)
				p.Ended(at(200), "upstream-0", ok)
			}
		}, false, true),
		Entry("requests refused by its side process", func(p *Prober) {
			for range 9 {
				p.Started(at(100), "upstream-0", stallTimeout)
				p.EndedNeutral("upstream-0")
			}
		}, false, true),
	)

	It("after an ejection, allows one request; a success doubles that limit, and a failure ejects for twice as long", func() {
		p := newProber(4)
		p.Started(at(0), "upstream-0", stallTimeout)
		Expect(p.EjectStalled(at(1100))).To(Equal([]currantwood.UpstreamID{"upstream-0"}))
		Expect(p.EjectStalled(at(1200))).To(BeEmpty())
		p.EndedNeutral("upstream-0")
		Expect(p.Admits(at(1100+2000-1), "upstream-0")).To(BeFalse())
		Expect(p.Admits(at(1100+2501), "upstream-0")).To(BeTrue())
		p.Started(at(4000), "upstream-0", stallTimeout)
		Expect(p.Admits(at(4000), "upstream-0")).To(BeFalse(), "one request only")
		p.Ended(at(4100), "upstream-0", true)
		p.Started(at(4100), "upstream-0", stallTimeout)
		Expect(p.Admits(at(4100), "upstream-0")).To(BeTrue(), "two requests")
		p.Ended(at(4200), "upstream-0", false)
		Expect(p.Admits(at(4200+4000-1), "upstream-0")).To(BeFalse(), "ejected for twice as long")
		Expect(p.Admits(at(4200+5001), "upstream-0")).To(BeTrue())
	})

	// Guards against the ejection of a cold upstream that is only slow, and against one that
	// hangs and is never ejected.
	It("leaves a slow upstream more time to make progress, but not without end", func() {
		p := newProber(4)
		p.SetSlow("upstream-0", true)
		p.Started(at(0), "upstream-0", stallTimeout)
		Expect(p.EjectStalled(at(3900))).To(BeEmpty())
		Expect(p.EjectStalled(at(4001))).To(HaveLen(1))
		p.SetSlow("upstream-1", true)
		p.Started(at(0), "upstream-1", stallTimeout)
		p.SetSlow("upstream-1", false)
		Expect(p.Admits(at(1100), "upstream-1")).To(BeTrue())
	})

	It("ejects an upstream again if a request that reached it while it was ejected stalls, even if no other follows", func() {
		p := newProber(4)
		p.Started(at(0), "upstream-0", stallTimeout)
		Expect(p.EjectStalled(at(1100))).To(HaveLen(1))
		p.EndedNeutral("upstream-0")
		p.Started(at(1150), "upstream-0", stallTimeout)
		Expect(p.EjectStalled(at(1100 + 2501))).To(BeEmpty())
		Expect(p.EjectStalled(at(1100 + 2501 + 1001))).To(Equal([]currantwood.UpstreamID{"upstream-0"}))
	})

	It("ends an ejection whose time is up without a new request, so that another upstream may be ejected", func() {
		p := newProber(2)
		p.Started(at(0), "upstream-0", stallTimeout)
		Expect(p.EjectStalled(at(1100))).To(HaveLen(1))
		p.EndedNeutral("upstream-0")
		p.Started(at(3700), "upstream-1", stallTimeout)
		Expect(p.EjectStalled(at(4701))).To(Equal([]currantwood.UpstreamID{"upstream-1"}))
	})

	It("never ejects more than half of the upstreams, and never the only one", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			count := rapid.IntRange(1, 9).Draw(t, "upstreams")
			p := newProber(count)
			now := start
			for range rapid.IntRange(1, 80).Draw(t, "events") {
				now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
				id := upstreams(count)[rapid.IntRange(0, count-1).Draw(t, "upstream")]
				switch rapid.IntRange(0, 3).Draw(t, "event") {
				case 0:
					p.Started(now, id, stallTimeout)
				case 1:
					p.Ended(now, id, false)
				case 2:
					p.Progressed(now, id)
				case 3:
					p.EjectStalled(now)
				}
				ejected := 0
				for _, u := range p.upstreams {
					if u.ejected {
						ejected++
					}
				}
				if ejected > count/2 {
					t.Fatalf("%d of %d upstreams are ejected", ejected, count)
				}
			}
		})
	})
})
