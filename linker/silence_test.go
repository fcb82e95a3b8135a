package linker

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = DescribeTable("a peer's silence counts only while this process runs",
	func(pauses []time.Duration, readsBetween uint64, silence time.Duration) {
		const interval = 20 * time.Millisecond
		now := time.Unix(1_700_000_000, 0)
		m := newSilenceMeter(now, interval)
		var reads uint64
		var got time.Duration
		for _, pause := range pauses {
			now = now.Add(pause)
			reads += readsBetween
			got = m.check(now, reads)
		}
		Expect(got).To(Equal(silence))
	},
	Entry("no read at regular checks", []time.Duration{20 * time.Millisecond, 20 * time.Millisecond, 20 * time.Millisecond}, uint64(0), 60*time.Millisecond),
	Entry("reads between all checks", []time.Duration{20 * time.Millisecond, 20 * time.Millisecond}, uint64(1), time.Duration(0)),
	Entry("a pause of the process of ten silence timeouts", []time.Duration{20 * time.Millisecond, 2 * time.Second}, uint64(0), 40*time.Millisecond),
	Entry("checks that follow a late one at once", []time.Duration{2 * time.Second, time.Millisecond, 19 * time.Millisecond}, uint64(0), 40*time.Millisecond),
)
