package progressmeter

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var start = time.Unix(1_700_000_000, 0)

// transfer is a number of bytes at a time after the start.
type transfer struct {
	after time.Duration
	bytes int
}

var _ = DescribeTable("Meter expires when bytes come at less than the rate, after the allowance",
	func(expiresAfter time.Duration, transfers ...transfer) {
		m := New(start, 10*time.Second, 100)
		for _, t := range transfers {
			m.Transferred(start.Add(t.after), t.bytes)
		}
		Expect(m.Expired(start.Add(expiresAfter - 1))).To(BeFalse())
		Expect(m.Expired(start.Add(expiresAfter))).To(BeTrue())
		Expect(m.Lag(start.Add(expiresAfter))).To(Equal(10 * time.Second))
	},
	Entry("nothing comes", 10*time.Second),
	Entry("a byte each second", 10*time.Second+20*time.Millisecond, transfer{time.Second, 1}, transfer{2 * time.Second, 1}),
	Entry("the rate is kept, then nothing", 13*time.Second, transfer{time.Second, 100}, transfer{2 * time.Second, 100}, transfer{3 * time.Second, 100}),
	Entry("most comes at once and then nothing", 11*time.Second, transfer{time.Second, 4 << 20}),
)

var _ = It("a transfer above the rate has no lag", func() {
	m := New(start, time.Second, 100)
	Expect(m.Lag(start.Add(400 * time.Millisecond))).To(Equal(400 * time.Millisecond))
	m.Transferred(start.Add(400*time.Millisecond), 1000)
	Expect(m.Lag(start.Add(400 * time.Millisecond))).To(BeZero())
})

var _ = It("time that doesn't count isn't used up", func() {
	m := New(start, time.Second, 100)
	m.Extend(start.Add(time.Minute), time.Minute)
	Expect(m.Expired(start.Add(time.Minute))).To(BeFalse())
	Expect(m.Expired(start.Add(time.Minute + time.Second))).To(BeTrue())
})

var _ = It("a transfer that began after the time that doesn't count keeps to its allowance", func() {
	m := New(start.Add(time.Minute), time.Second, 100)
	m.Extend(start.Add(time.Minute), time.Minute)
	Expect(m.Expired(start.Add(time.Minute + time.Second - 1))).To(BeFalse())
	Expect(m.Expired(start.Add(time.Minute + time.Second))).To(BeTrue())
})
