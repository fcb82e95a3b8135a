package crashkeeper

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
)

var start = time.Unix(1_700_000_000, 0)

var _ = Describe("Keeper", func() {
	DescribeTable("blocks a request if three upstreams have crashed while they ran it",
		func(upstreams []string, after time.Duration, blocked bool) {
			k := New()
			for _, u := range upstreams {
				k.Record(start, Crash{Fingerprint: 7, Upstream: currantwood.UpstreamID(u)})
			}
			Expect(k.Blocked(start.Add(after), 7)).To(Equal(blocked))
			Expect(k.Blocked(start.Add(after), 8)).To(BeFalse())
		},
		Entry("three upstreams", []string{"a", "b", "c"}, time.Second, true),
		Entry("two upstreams", []string{"a", "b"}, time.Second, false),
		Entry("one upstream, reported three times", []string{"a", "a", "a"}, time.Second, false),
		Entry("three upstreams, long ago", []string{"a", "b", "c"}, time.Hour, false),
	)

	It("bounds the crashes that it keeps and sends to peers, and sends only recent ones", func() {
		k := New()
		for i := range currantwood.Fingerprint(2 * maxRequests) {
			k.Record(start, Crash{Fingerprint: i, Upstream: "a"})
		}
		Expect(len(k.crashes)).To(Equal(maxRequests))
		Expect(k.Recent(start.Add(time.Second))).To(HaveLen(maxSent))
		Expect(k.Recent(start.Add(time.Minute))).To(BeEmpty())
		k.Record(start.Add(time.Hour), Crash{Fingerprint: 1 << 40, Upstream: "a"})
		Expect(len(k.crashes)).To(Equal(1))
	})
})
