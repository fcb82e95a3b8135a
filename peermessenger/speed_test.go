package peermessenger

import (
	"fmt"
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/capacity/speedkeeper"
	"github.com/currantwood/currantwood/peerwire"
)

// Guards against a datagram by which one upstream takes all work or none.
var _ = DescribeTable("sums of speeds from another gateway",
	func(weight, speed float32, accepted bool) {
		sums := decodeSpeeds([]*peerwire.Speed{{Upstream: "e1", Weight: weight, Speed: speed}})
		Expect(len(sums) == 1).To(Equal(accepted))
	},
	Entry("as usual", float32(4), float32(4), true),
	Entry("at the upper limit of what an upstream may state", float32(0.05), float32(5), true),
	Entry("at the lower limit of what an upstream may state", float32(5), float32(0.05), true),
	Entry("faster than an upstream may state", float32(0.05), float32(6), false),
	Entry("slower than an upstream may state", float32(6), float32(0.05), false),
	Entry("without weight", float32(0), float32(6), false),
	Entry("of negative weight", float32(-1), float32(-1), false),
	Entry("without speed", float32(2), float32(0), false),
	Entry("not a number", float32(math.NaN()), float32(1), false),
	Entry("of a speed that isn't a number", float32(1), float32(math.NaN()), false),
	Entry("of infinite weight", float32(math.Inf(1)), float32(1), false),
	Entry("of infinite speed", float32(1), float32(math.Inf(1)), false),
	Entry("of more weight than responses arrive", float32(1e9), float32(1e9), false),
)

var _ = Describe("encodeSpeeds", func() {
	It("keeps the sums with the highest weights", func() {
		sums := make(speedkeeper.Sums)
		for i := range maxSpeeds + 10 {
			sums[upstreamName(i)] = speedkeeper.Sum{Weight: float64(1 + i), Speed: 1}
		}
		speeds := encodeSpeeds(sums)
		Expect(speeds).To(HaveLen(maxSpeeds))
		Expect(speeds[0].GetUpstream()).To(Equal(string(upstreamName(maxSpeeds + 9))))
		Expect(speeds[maxSpeeds-1].GetWeight()).To(BeNumerically("==", 11))
	})

	// Guards against a collector whose own states take every turn of its digests: its fleet
	// is so large that it sends digests only every maxSendInterval, as often as speeds.
	It("has a turn in digests and in states each", func() {
		m := &Messenger{}
		for i := range 8 {
			now := bootSeconds(5).Add(time.Duration(i) * speedInterval)
			Expect(speedsDue(now, &m.stateSpeedsAt)).To(BeTrue())
			Expect(speedsDue(now, &m.digestSpeedsAt)).To(BeTrue())
			Expect(speedsDue(now, &m.digestSpeedsAt)).To(BeFalse())
		}
	})
})

func upstreamName(i int) currantwood.UpstreamID {
	return currantwood.UpstreamID(fmt.Sprintf("e%04d", i))
}
