package peermessenger

import (
	"fmt"
	"math"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/capacity/limitkeeper"
	"github.com/currantwood/currantwood/capacity/speedkeeper"
	"github.com/currantwood/currantwood/peerkeeper"
	"github.com/currantwood/currantwood/peerwire"
)

// Guards against a datagram that lowers or raises limits by sums that no observations add up
// to.
var _ = DescribeTable("load levels from another gateway",
	func(levels *peerwire.LoadLevels, accepted bool) {
		levels.Upstream = "e1"
		Expect(len(decodeLoadLevels([]*peerwire.LoadLevels{levels})) == 1).To(Equal(accepted))
	},
	Entry("as usual", &peerwire.LoadLevels{First: 1, Weights: []uint32{400, 300}, Running: []uint32{240, 130}, Speeds: []uint32{400, 300}}, true),
	Entry("with an empty level between", &peerwire.LoadLevels{Weights: []uint32{400, 0, 300}, Running: []uint32{400, 0, 130}, Speeds: []uint32{400, 0, 300}}, true),
	Entry("of more running than slots", &peerwire.LoadLevels{Weights: []uint32{400}, Running: []uint32{500}, Speeds: []uint32{400}}, false),
	Entry("faster than an upstream may state", &peerwire.LoadLevels{Weights: []uint32{100}, Running: []uint32{50}, Speeds: []uint32{20_000}}, false),
	Entry("slower than an upstream may state", &peerwire.LoadLevels{Weights: []uint32{200_000}, Running: []uint32{50}, Speeds: []uint32{100}}, false),
	Entry("of more weight than responses arrive", &peerwire.LoadLevels{Weights: []uint32{math.MaxUint32}, Running: []uint32{1}, Speeds: []uint32{1}}, false),
	Entry("of more responses than arrive", &peerwire.LoadLevels{Weights: []uint32{200_000_000}, Running: []uint32{100_000_000}, Speeds: []uint32{200_000_000}}, false),
	Entry("without levels", &peerwire.LoadLevels{}, false),
	Entry("with lists of different length", &peerwire.LoadLevels{Weights: []uint32{400, 300}, Running: []uint32{240}, Speeds: []uint32{400, 300}}, false),
	Entry("beyond the last level", &peerwire.LoadLevels{First: limitkeeper.Levels, Weights: []uint32{400}, Running: []uint32{20}, Speeds: []uint32{400}}, false),
	Entry("of a first level that overflows", &peerwire.LoadLevels{First: math.MaxUint32, Weights: []uint32{400}, Running: []uint32{20}, Speeds: []uint32{400}}, false),
)

var _ = Describe("load levels and limits", func() {
	It("arrive as they were sent", func() {
		k := limitkeeper.New()
		for running := 1; running <= 24; running++ {
			k.Observe(bootSeconds(5), "e1", running, 24, 1+float64(running)/24)
		}
		sent := k.Own(bootSeconds(5))
		received := decodeLoadLevels(encodeLoadLevels(sent))
		Expect(received).To(HaveLen(1))
		for i, level := range sent["e1"] {
			Expect(received["e1"][i].Weight).To(BeNumerically("~", level.Weight, 0.006))
			Expect(received["e1"][i].Running).To(BeNumerically("~", level.Running, 0.006))
			Expect(received["e1"][i].Speed).To(BeNumerically("~", level.Speed, 0.006))
		}
		Expect(decodeLimits(encodeLimits(limitkeeper.Limits{"e1": 0.333, "e2": 0.9999}))).To(Equal(limitkeeper.Limits{"e1": 0.333}))
	})

	It("ignores limits outside the range", func() {
		Expect(decodeLimits([]*peerwire.ConcurrencyLimit{{Upstream: "e1"}, {Upstream: "e2", Share: 1000}, {Upstream: "e3", Share: math.MaxUint32}})).To(BeEmpty())
	})

	It("keeps the sums with the highest weights and the lowest limits", func() {
		sums, limits := make(limitkeeper.Sums), make(limitkeeper.Limits)
		for i := range maxLimits + 10 {
			var sum limitkeeper.Sum
			sum[0] = limitkeeper.Level{Weight: float64(1 + i), Running: 1, Speed: 1}
			sums[upstreamName(i)] = sum
			limits[upstreamName(i)] = float64(1+i) / 1000
		}
		levels := encodeLoadLevels(sums)
		Expect(levels).To(HaveLen(maxLoadLevels))
		Expect(levels[0].GetUpstream()).To(Equal(string(upstreamName(maxLimits + 9))))
		encoded := encodeLimits(limits)
		Expect(encoded).To(HaveLen(maxLimits))
		Expect(encoded[0].GetUpstream()).To(Equal("e0000"))
	})
})

// learningGateway is a Gateway that keeps the limits it has learned.
type learningGateway struct {
	idleGateway
	learned *[]limitkeeper.Limits
}

// LearnLimits keeps the limits.
func (g learningGateway) LearnLimits(_ time.Time, limits limitkeeper.Limits) {
	*g.learned = append(*g.learned, limits)
}

// Guards against limits that end with each digest in which they aren't due or that an older
// collector sends, and against limits that outlast a digest which names none.
var _ = It("learns limits only from digests that have them", func() {
	var learned []limitkeeper.Limits
	m := &Messenger{Options: Options{Gateway: learningGateway{learned: &learned}}, peers: peerkeeper.New(peerkeeper.Peer{VM: "b"})}
	from := peerkeeper.Peer{VM: "a", Address: "a:1"}
	m.applySums(bootSeconds(9), from, &peerwire.Digest{})
	Expect(learned).To(BeEmpty())
	m.applySums(bootSeconds(9), from, &peerwire.Digest{HasLimits: true, Limits: []*peerwire.ConcurrencyLimit{{Upstream: "e1", Share: 500}}})
	m.applySums(bootSeconds(9), from, &peerwire.Digest{HasLimits: true})
	Expect(learned).To(Equal([]limitkeeper.Limits{{"e1": 0.5}, {}}))
})

// estimatingGateway is a Gateway that knows the speeds and limits of some upstreams.
type estimatingGateway struct {
	idleGateway
	upstreams int
	// prefix begins the name of each upstream.
	prefix string
}

// AllSpeeds returns a speed for each upstream.
func (g estimatingGateway) AllSpeeds(time.Time) speedkeeper.Sums {
	sums := make(speedkeeper.Sums)
	for i := range g.upstreams {
		sums[currantwood.UpstreamID(fmt.Sprintf("%supstream-%05d", g.prefix, i))] = speedkeeper.Sum{Weight: 10, Speed: 9}
	}
	return sums
}

// AllLimits returns a limit for each upstream.
func (g estimatingGateway) AllLimits(time.Time) limitkeeper.Limits {
	limits := make(limitkeeper.Limits)
	for i := range g.upstreams {
		limits[currantwood.UpstreamID(fmt.Sprintf("%supstream-%05d", g.prefix, i))] = 0.5
	}
	return limits
}

// Guards against larger digests of groups whose upstreams state no time.
var _ = It("adds nothing to digests if no upstream states a time", func() {
	m := &Messenger{Options: Options{Gateway: idleGateway{}}}
	e, digest := m.takeEstimates(bootSeconds(5), 68), &peerwire.Digest{}
	Expect(e.due).To(BeTrue())
	e.addTo(digest)
	Expect(proto.Size(digest)).To(Equal(0))
})

// Guards against a collector that sends 117 MB/s to 2,200 gateways, and against digests that
// are sent less often than today to few.
var _ = DescribeTable("digests with speeds and limits", func(recipients, upstreams int, every time.Duration) {
	m := &Messenger{Options: Options{Gateway: estimatingGateway{upstreams: upstreams}}}
	const duration = 60 * time.Second
	bytes, digests := 0.0, 0
	for after := time.Duration(0); after < duration; after += 50 * time.Millisecond {
		e := m.takeEstimates(bootSeconds(5).Add(after), recipients)
		digest := &peerwire.Digest{}
		e.addTo(digest)
		if e.due {
			digests++
		}
		bytes += float64(proto.Size(digest)) * float64(recipients)
	}
	// The first digests don't know their size before.
	once := bytes / float64(digests)
	Expect((bytes - once) / duration.Seconds()).To(BeNumerically("<=", maxEstimateBytesPerSecond))
	Expect(m.digestSpeedInterval).To(BeNumerically("~", every, every/10))
	GinkgoWriter.Println(recipients, upstreams, once/float64(recipients), "bytes each", m.digestSpeedInterval, bytes/duration.Seconds()/1e6, "MB/s")
},
	Entry("to 28 gateways", 28, 50, speedInterval),
	Entry("to 68 gateways", 68, 50, speedInterval),
	Entry("to 68 gateways with very many upstreams", 68, 600, 425*time.Millisecond),
	Entry("to 2,200 gateways", 2200, 50, 1340*time.Millisecond),
	Entry("to 2,200 gateways with very many upstreams", 2200, 600, 13700*time.Millisecond),
)

// Guards against digests that are too long for a datagram, and lost with all loads, where
// upstreams have long names.
var _ = It("names fewer limits if they would make a digest too long", func() {
	m := &Messenger{Options: Options{Gateway: estimatingGateway{upstreams: 600, prefix: strings.Repeat("x", 22)}}}
	e := m.takeEstimates(bootSeconds(5), 68)
	Expect(e.speeds).To(HaveLen(maxSpeeds))
	Expect(e.limits).NotTo(BeEmpty())
	Expect(e.size()).To(BeNumerically("<=", maxEstimateBytes))
	Expect(e.size()).To(BeNumerically(">", maxEstimateBytes-100))
})
