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
		Entry("a client that doesn't read keeps its only response from being read", func(p *Prober) {
			p.Started(at(0), "upstream-0", stallTimeout)
			p.Unread("upstream-0")
		}, false, true),
		Entry("its only response was read again a moment ago", func(p *Prober) {
			p.Started(at(0), "upstream-0", stallTimeout)
			p.Unread("upstream-0")
			p.Reread(at(1500), "upstream-0")
		}, false, true),
		Entry("no progress since its only response was read again", func(p *Prober) {
			p.Started(at(0), "upstream-0", stallTimeout)
			p.Unread("upstream-0")
			p.Reread(at(500), "upstream-0")
		}, true, false),
		Entry("no progress of one response while another one isn't read", func(p *Prober) {
			p.Started(at(0), "upstream-0", stallTimeout)
			p.Started(at(0), "upstream-0", stallTimeout)
			p.Unread("upstream-0")
			p.Reread(at(1500), "upstream-0")
			p.Unread("upstream-0")
		}, true, false),
		Entry("a request that starts late beside one that isn't read", func(p *Prober) {
			p.Started(at(0), "upstream-0", stallTimeout)
			p.Unread("upstream-0")
			p.Started(at(1500), "upstream-0", stallTimeout)
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

	// Guards against the ejection of an upstream at the moment from which it is no longer cold,
	// since its requests took longer than usual until then.
	It("gives an upstream that is no longer slow the usual time from then on", func() {
		p := newProber(4)
		p.SetSlow("upstream-0", true)
		p.Started(at(0), "upstream-0", stallTimeout)
		Expect(p.EjectStalled(at(2000))).To(BeEmpty())
		p.SetSlow("upstream-0", false)
		Expect(p.EjectStalled(at(2010))).To(BeEmpty())
		Expect(p.EjectStalled(at(3010))).To(BeEmpty())
		Expect(p.EjectStalled(at(3011))).To(HaveLen(1))
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

// Answers the load pattern of an application that fails 9% of its requests with status 500 at
// all upstreams: ejections took capacity away and mended nothing.
var _ = Describe("Errors of the application", func() {
	// serve sends requests to 8 upstreams in turn. It returns the ejections of each.
	serve := func(errorShare func(upstream int) float64) [8]int {
		random := rand.New(rand.NewSource(1))
		p := New(Options{BaseEjection: 1500 * time.Millisecond, MaxEjection: 6 * time.Second}, random)
		ids := []currantwood.UpstreamID{"0", "1", "2", "3", "4", "5", "6", "7"}
		p.SetUpstreams(ids)
		now, ejections := time.Unix(1_700_000_000, 0), [8]int{}
		for range 60_000 {
			now = now.Add(2 * time.Millisecond)
			i := random.Intn(len(ids))
			if !p.Admits(now, ids[i]) {
				continue
			}
			p.Started(now, ids[i], time.Second)
			if random.Float64() >= errorShare(i) {
				p.Ended(now, ids[i], true)
				continue
			}
			p.EndedInError(now, ids[i])
			if p.Ejected(now, ids[i]) {
				ejections[i]++
			}
		}
		return ejections
	}
	sum := func(list [8]int) int {
		total := 0
		for _, n := range list {
			total += n
		}
		return total
	}

	It("hardly eject an upstream while all have them alike", func() {
		Expect(sum(serve(func(int) float64 { return 0.09 }))).To(BeNumerically("<=", 2), "52 with three in a row")
	})

	It("eject none while all requests end in them", func() {
		// The first ones are ejected before it is known that all are alike.
		Expect(sum(serve(func(int) float64 { return 1 }))).To(BeNumerically("<=", 8))
	})

	It("eject the upstream that alone has them", func() {
		ejections := serve(func(upstream int) float64 {
			if upstream == 3 {
				return 1
			}
			return 0.09
		})
		Expect(ejections[3]).To(BeNumerically(">=", 10))
		Expect(sum(ejections) - ejections[3]).To(BeNumerically("<=", 2))
	})

	It("eject after three in a row where nothing else is known", func() {
		p := New(Options{}, rand.New(rand.NewSource(1)))
		p.SetUpstreams([]currantwood.UpstreamID{"a", "b"})
		now := time.Unix(1_700_000_000, 0)
		for range 3 {
			Expect(p.Ejected(now, "a")).To(BeFalse())
			p.Started(now, "a", time.Second)
			p.EndedInError(now, "a")
		}
		Expect(p.Ejected(now, "a")).To(BeTrue())
	})
})
