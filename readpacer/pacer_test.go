package readpacer

import (
	"container/heap"
	"math/rand"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood/proof/redlister"
)

func TestReadpacer(t *testing.T) {
	RegisterFailHandler(Fail)
	redlister.Skipper{}.RunSpecs(t, "Readpacer")
}

func newPacer(seed int64) *Pacer { return New(rand.New(rand.NewSource(seed))) }

// read is the next read of a simulated gateway.
type read struct {
	at       time.Duration
	failures int
	fleet    Fleet
}

// reads is a queue in the order of time.
type reads []read

func (r reads) Len() int           { return len(r) }
func (r reads) Less(i, j int) bool { return r[i].at < r[j].at }
func (r reads) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }
func (r *reads) Push(x any)        { *r = append(*r, x.(read)) }
func (r *reads) Pop() any {
	last := (*r)[len(*r)-1]
	*r = (*r)[:len(*r)-1]
	return last
}

// simulateOutage lets gateways whose collector goes read one topic of a store that fails
// for some time. It returns the reads that fail, the most of them within a second after
// the first quick retries, and how long after the outage the first read succeeds.
func simulateOutage(gateways int, collectorLives bool, outage time.Duration) (failed, mostPerSecond int, back time.Duration) {
	const settled = 2 * time.Second
	pacer, queue := newPacer(int64(gateways)), &reads{}
	for n := range gateways {
		fleet := Fleet{Gateways: gateways, Rank: n, Collected: n == 0}
		if n == 0 && !collectorLives {
			continue
		}
		at := pacer.TakeOverPause(fleet)
		if n == 0 {
			at = 0
		}
		heap.Push(queue, read{at: at, fleet: fleet})
	}
	perSecond := map[int]int{}
	for {
		r := heap.Pop(queue).(read)
		if r.at >= outage {
			for _, count := range perSecond {
				mostPerSecond = max(mostPerSecond, count)
			}
			return failed, mostPerSecond, r.at - outage
		}
		failed++
		if r.at > settled {
			perSecond[int(r.at/time.Second)]++
		}
		r.failures++
		_, pause := pacer.RetryPause(r.failures, r.fleet)
		r.at += pause
		heap.Push(queue, r)
	}
}

var _ = Describe("Pacer", func() {
	It("retries as fast as ever with few gateways", func() {
		p := newPacer(1)
		var pauses []time.Duration
		for failures := range 5 {
			_, pause := p.RetryPause(failures+1, Fleet{Gateways: 2})
			pauses = append(pauses, pause)
		}
		Expect(pauses).To(Equal([]time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond, 400 * time.Millisecond, 400 * time.Millisecond}))
	})

	It("doesn't slow the collector down", func() {
		_, pause := newPacer(1).RetryPause(9, Fleet{Gateways: 2200, Collected: true})
		Expect(pause).To(Equal(maxBasePause))
	})

	It("bounds pauses, and waits for another collector no longer than reads can wait", func() {
		p := newPacer(1)
		for range 1000 {
			least, pause := p.RetryPause(20, Fleet{Gateways: 100_000})
			Expect(pause).To(And(BeNumerically(">=", least), BeNumerically("<=", maxPause)))
			Expect(p.TakeOverPause(Fleet{Gateways: 100_000})).To(BeNumerically("<=", maxTakeOver))
		}
		Expect(p.TakeOverPause(Fleet{})).To(BeZero())
	})

	It("lets gateways take over in the order of their rank", func() {
		p := newPacer(1)
		Expect(p.TakeOverPause(Fleet{Gateways: 300, Rank: 1})).To(BeZero())
		Expect(p.TakeOverPause(Fleet{Gateways: 300, Rank: 5})).To(Equal(100 * time.Millisecond))
		Expect(p.TakeOverPause(Fleet{Gateways: 300, Rank: 300})).To(Equal(maxTakeOver))
	})

	// Answers the load pattern of a store that goes away for seconds while every gateway
	// has to know when it is back.
	DescribeTable("reads a store that is away for 10 s at a rate that hardly grows with the gateways:",
		func(gateways int, collectorLives bool, mostPerSecond int, latest time.Duration) {
			failed, most, back := simulateOutage(gateways, collectorLives, 10*time.Second)
			GinkgoWriter.Println(gateways, failed, most, back)
			Expect(most).To(BeNumerically("<=", mostPerSecond))
			Expect(failed).To(BeNumerically("<=", 4*gateways+10*mostPerSecond))
			Expect(back).To(BeNumerically("<=", latest))
		},
		Entry("4", 4, true, 20, 400*time.Millisecond),
		Entry("23", 23, true, 30, 400*time.Millisecond),
		Entry("68", 68, true, 30, 400*time.Millisecond),
		Entry("68, whose collector has gone", 68, false, 30, time.Second),
		Entry("300", 300, true, 50, 400*time.Millisecond),
		Entry("2200", 2200, true, 300, 400*time.Millisecond),
		Entry("2200, whose collector has gone", 2200, false, 300, time.Second),
	)
})
