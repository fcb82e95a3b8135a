package crashkeeper

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
)

var start = time.Unix(1_700_000_000, 0)

// request returns the suspect that is a request with a fingerprint.
func request(fingerprint int) currantwood.Suspect {
	return currantwood.Suspect{Kind: currantwood.SuspectRequest, Fingerprint: currantwood.Fingerprint(fingerprint)}
}

// isBlocked reports whether a request with a suspect and no other is blocked.
func isBlocked(k *Keeper, now time.Time, s currantwood.Suspect) bool {
	_, found := k.FindBlocked(now, []currantwood.Suspect{s})
	return found
}

var _ = Describe("Keeper", func() {
	DescribeTable("blocks a request if three upstreams have crashed while they ran it",
		func(upstreams []string, after time.Duration, blocked bool) {
			k := New()
			for _, u := range upstreams {
				k.Record(start, AgedCrash{Crash: Crash{Suspect: request(7), Upstream: currantwood.UpstreamID(u)}})
			}
			Expect(isBlocked(k, start.Add(after), request(7))).To(Equal(blocked))
			Expect(isBlocked(k, start.Add(after), request(8))).To(BeFalse())
		},
		Entry("three upstreams", []string{"a", "b", "c"}, time.Second, true),
		Entry("two upstreams", []string{"a", "b"}, time.Second, false),
		Entry("one upstream, reported three times", []string{"a", "a", "a"}, time.Second, false),
		Entry("three upstreams, long ago", []string{"a", "b", "c"}, time.Hour, false),
	)

	DescribeTable("tells crashes of one upstream apart",
		func(crashes []Crash, count int) {
			k := New()
			var result RecordResult
			for _, c := range crashes {
				result = k.Record(start, AgedCrash{Crash: c})
			}
			Expect(result.Count).To(Equal(count))
		},
		Entry("by its incarnation", []Crash{{request(7), "a", 1, 0}, {request(7), "a", 2, 0}, {request(7), "a", 3, 0}}, 3),
		Entry("by restarts that the directory hasn't shown", []Crash{{request(7), "a", 1, 0}, {request(7), "a", 1, 1}}, 2),
		Entry("an unknown incarnation, then a known one: one crash", []Crash{{request(7), "a", 0, 0}, {request(7), "a", 1, 0}}, 1),
		Entry("a known incarnation, then an unknown one: one crash", []Crash{{request(7), "a", 1, 0}, {request(7), "a", 0, 0}}, 1),
	)

	DescribeTable("takes a failure at the same incarnation for a new crash only after an unseen restart",
		func(sent time.Duration, broken bool, count int) {
			k := New()
			k.RecordFailure(start, Failure{Suspect: request(7), Upstream: "a", Incarnation: 1, SentAt: start, Broken: true})
			_, result := k.RecordFailure(start.Add(2*time.Second), Failure{Suspect: request(7), Upstream: "a", Incarnation: 1, SentAt: start.Add(sent), Broken: broken})
			Expect(result.Count).To(Equal(count))
		},
		Entry("sent before the first crash", -time.Second, true, 1),
		Entry("sent sooner than the upstream can be back", 400*time.Millisecond, true, 1),
		Entry("sent later and broken off by the upstream", time.Second, true, 2),
		Entry("sent later, but given up here: it may only hang", time.Second, false, 1),
	)

	It("doesn't count the crashes before an upstream ran the request to its end", func() {
		k := New()
		for i, id := range []currantwood.UpstreamID{"a", "b", "c"} {
			k.Record(start.Add(time.Duration(i)*time.Second), AgedCrash{Crash: Crash{Suspect: request(7), Upstream: id}})
		}
		Expect(isBlocked(k, start.Add(3*time.Second), request(7))).To(BeTrue())
		k.RecordCompletion(start.Add(3*time.Second), request(7), start.Add(3*time.Second))
		Expect(isBlocked(k, start.Add(3*time.Second), request(7))).To(BeFalse())
		By("also if a peer reports one of them again")
		Expect(k.Record(start.Add(4*time.Second), AgedCrash{Crash: Crash{Suspect: request(7), Upstream: "a"}}).Count).To(BeZero())
		By("but those after it")
		Expect(k.Record(start.Add(5*time.Second), AgedCrash{Crash: Crash{Suspect: request(7), Upstream: "d"}}).Count).To(Equal(1))
	})

	It("still counts the crashes of a request while many others have one crash each", func() {
		k := New()
		for i := range maxSuspects {
			k.Record(start, AgedCrash{Crash: Crash{Suspect: request(1000 + i), Upstream: "a"}})
		}
		for i, id := range []currantwood.UpstreamID{"a", "b", "c"} {
			k.Record(start.Add(time.Duration(i)*time.Second), AgedCrash{Crash: Crash{Suspect: request(7), Upstream: id}})
		}
		Expect(isBlocked(k, start.Add(3*time.Second), request(7))).To(BeTrue())
		By("also after as many new ones")
		for i := range maxSuspects {
			k.Record(start.Add(4*time.Second), AgedCrash{Crash: Crash{Suspect: request(10_000 + i), Upstream: "a"}})
		}
		Expect(isBlocked(k, start.Add(5*time.Second), request(7))).To(BeTrue())
	})

	It("counts a crash again that was recorded so long ago that it no longer counts", func() {
		k := New()
		for range 2 {
			k.Record(start, AgedCrash{Crash: Crash{Suspect: request(7), Upstream: "a"}})
		}
		later := start.Add(crashLifetime + time.Second)
		Expect(k.Record(later, AgedCrash{Crash: Crash{Suspect: request(7), Upstream: "a"}})).To(Equal(RecordResult{New: true, Count: 1}))
	})

	It("bounds the crashes that it keeps and sends to peers, and sends only recent ones", func() {
		k := New()
		for i := range 2 * maxSuspects {
			k.Record(start, AgedCrash{Crash: Crash{Suspect: request(i), Upstream: "a"}})
		}
		Expect(len(k.histories)).To(And(BeNumerically("<=", maxSuspects), BeNumerically(">", maxSuspects-evictedSuspects)))
		Expect(k.Recent(start.Add(time.Second), minSent)).To(HaveLen(minSent))
		Expect(k.Recent(start.Add(time.Minute), minSent)).To(BeEmpty())
		for i := range evictedSuspects {
			k.Record(start.Add(time.Hour), AgedCrash{Crash: Crash{Suspect: request(1<<40 + i), Upstream: "a"}})
		}
		Expect(len(k.histories)).To(BeNumerically("<=", evictedSuspects))
	})

	// Guards against crashes of requests with many suspects, of which peers are told only the
	// first few.
	It("sends each recent crash several times, however many there are", func() {
		k := New()
		for i := range 1000 {
			k.Record(start, AgedCrash{Crash: Crash{Suspect: request(i), Upstream: "a"}})
		}
		sent := make(map[currantwood.Suspect]int)
		for range 80 {
			for _, c := range k.Recent(start.Add(time.Second), 256) {
				sent[c.Suspect]++
			}
		}
		for i := range 1000 {
			Expect(sent[request(i)]).To(BeNumerically(">=", 4))
		}
	})

	// Guards against a suspect that is never blocked, as each crash of requests with as many
	// suspects as a head holds displaces those before.
	It("blocks a part that crashes upstreams in requests with very many parts, no two alike, beside other crashes", func() {
		const parts = 4096
		k := New()
		deadly := part(1)
		now := start
		for crash := range maxPartCrashes {
			suspects := []currantwood.Suspect{deadly}
			for i := range parts - 1 {
				suspects = append(suspects, part(1000+crash*parts+i))
			}
			// The part stands last where it counts: what comes before must not displace it.
			slices.Reverse(suspects)
			for _, s := range k.KnownFirst(suspects) {
				k.RecordFailure(now, Failure{Suspect: s, Upstream: currantwood.UpstreamID(fmt.Sprint(crash)), Incarnation: 1, SentAt: now, Broken: true})
			}
			now = now.Add(time.Second)
			for i := range 1000 {
				k.Record(now, AgedCrash{Crash: Crash{Suspect: request(crash*1000 + i), Upstream: "other"}})
			}
		}
		Expect(isBlocked(k, now, deadly)).To(BeTrue())
		Expect(len(k.histories)).To(BeNumerically("<=", maxSuspects))
	})
})
