package drainer

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var start = time.Unix(1_700_000_000, 0)

var _ = DescribeTable("Drainer waits until no request has arrived for quietTime, for maxQuietWait at most",
	func(requests int, interval, waited time.Duration) {
		d := New()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() {
			for range requests {
				d.NoteRequest(time.Now())
				time.Sleep(interval)
			}
		}()
		time.Sleep(10 * time.Millisecond)
		began := time.Now()
		d.Wait(ctx, time.Now)
		Expect(time.Since(began)).To(BeNumerically("~", waited, 150*time.Millisecond))
	},
	Entry("no request", 0, time.Duration(0), time.Duration(0)),
	Entry("one just before", 1, time.Duration(0), quietTime),
	Entry("some more", 6, 100*time.Millisecond, 500*time.Millisecond+quietTime),
	Entry("without end", 40, 100*time.Millisecond, maxQuietWait),
)

var _ = It("a request is recent for quietTime", func() {
	d := New()
	Expect(d.IsQuiet(start)).To(BeTrue())
	d.NoteRequest(start)
	Expect(d.IsQuiet(start.Add(quietTime - 1))).To(BeFalse())
	Expect(d.IsQuiet(start.Add(quietTime))).To(BeTrue())
})
