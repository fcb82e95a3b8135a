package streamkeeper

import (
	"math/rand"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
)

var start = time.Unix(1000, 0)

func begun(stream int, version currantwood.SoftwareVersion) Start {
	return Start{Stream: currantwood.Fingerprint(stream), Origin: Origin{Group: "g", Version: version}, At: start}
}

var _ = Describe("Keeper", func() {
	var k *Keeper
	BeforeEach(func() { k = New() })

	DescribeTable("knows where a stream began only if nothing contradicts it",
		func(want currantwood.SoftwareVersion, known bool, starts ...Start) {
			for _, s := range starts {
				k.Learn(start, []Start{s}, false)
			}
			origin, found := k.Origin(1)
			Expect(found).To(Equal(known))
			if known {
				Expect(origin).To(Equal(Origin{Group: "g", Version: want}))
			}
		},
		Entry("nothing", currantwood.SoftwareVersion(""), false),
		Entry("once", currantwood.SoftwareVersion("v1"), true, begun(1, "v1")),
		Entry("twice the same", currantwood.SoftwareVersion("v1"), true, begun(1, "v1"), begun(1, "v1")),
		Entry("another stream", currantwood.SoftwareVersion(""), false, begun(2, "v1")),
		Entry("an unknown version", currantwood.SoftwareVersion(""), false, begun(1, "")),
		Entry("taken back", currantwood.SoftwareVersion(""), false, begun(1, "v1"), begun(1, "")),
		Entry("taken back, and heard again late", currantwood.SoftwareVersion(""), false, begun(1, "v1"), begun(1, ""), begun(1, "v1")),
		Entry("two versions", currantwood.SoftwareVersion(""), false, begun(1, "v1"), begun(1, "v2")),
	)

	It("forgets a start once no client can wait for its stream", func() {
		k.Begin(begun(1, "v1"))
		k.Learn(start.Add(retention), nil, false)
		_, known := k.Origin(1)
		Expect(known).To(BeTrue())
		k.Learn(start.Add(retention+time.Second), nil, false)
		_, known = k.Origin(1)
		Expect(known).To(BeFalse())
		Expect(k.Learn(start.Add(retention+time.Second), []Start{begun(1, "v1")}, true)).To(BeZero())
	})

	It("gives what the store may lack until it was saved, and all again once the store has lost some", func() {
		k.Begin(begun(1, "v1"))
		k.Learn(start, []Start{begun(2, "v1")}, false)
		k.Learn(start, []Start{begun(3, "v1")}, true)
		starts, next := k.Unsaved(10)
		Expect(starts).To(Equal([]Start{begun(1, "v1"), begun(2, "v1")}))
		k.Begin(begun(4, "v1"))
		k.MarkSaved(next)
		starts, next = k.Unsaved(10)
		Expect(starts).To(Equal([]Start{begun(4, "v1")}))
		k.ForgetSaved()
		k.MarkSaved(next)
		starts, _ = k.Unsaved(10)
		Expect(starts).To(HaveLen(4))
	})

	// Guards against a start that was taken back and is believed again, since the record
	// of the first was dropped.
	It("keeps what was taken back as long as its own record", func() {
		k.Begin(begun(0, "v1"))
		k.Begin(begun(1, "v1"))
		k.Begin(begun(0, ""))
		for n := range maxStarts - 2 {
			k.Begin(begun(n+2, "v1"))
		}
		k.Learn(start, []Start{begun(0, "v1")}, false)
		_, known := k.Origin(0)
		Expect(known).To(BeFalse())
	})

	It("bounds what it keeps; the oldest go first", func() {
		for n := range maxStarts + 10 {
			k.Begin(begun(n, "v1"))
		}
		Expect(k.origins).To(HaveLen(maxStarts))
		_, known := k.Origin(9)
		Expect(known).To(BeFalse())
		_, known = k.Origin(10)
		Expect(known).To(BeTrue())
	})

	// Names the pattern: gateways tell the collector and the collector all others, over
	// datagrams that are lost, repeated and reordered; collectors and gateways change.
	It("spreads each start to all that stay, whatever is lost on the way", func() {
		for seed := range int64(200) {
			random := rand.New(rand.NewSource(seed))
			const gateways = 4
			keepers := make([]*Keeper, gateways)
			// knownOwn[i][j] is the position up to which i has the starts at j, knownAll
			// that of all that j knows.
			var knownOwn, knownAll [gateways][gateways]uint64
			restart := func(i int) {
				keepers[i] = New()
				for j := range gateways {
					knownOwn[i][j], knownOwn[j][i], knownAll[i][j], knownAll[j][i] = 0, 0, 0, 0
				}
			}
			for i := range keepers {
				restart(i)
			}
			collector, count := 0, 0
			exchange := func(loss float64) {
				for i := range keepers {
					if i == collector {
						continue
					}
					if starts, first := keepers[i].Own(knownOwn[collector][i], 3); random.Float64() > loss {
						keepers[collector].Learn(start, starts, false)
						knownOwn[collector][i] = max(knownOwn[collector][i], first+uint64(len(starts)))
					}
					if starts, first := keepers[collector].All(knownAll[i][collector], 3); random.Float64() > loss {
						keepers[i].Learn(start, starts, false)
						knownAll[i][collector] = max(knownAll[i][collector], first+uint64(len(starts)))
					}
				}
			}
			began := map[int]int{}
			for range 60 {
				switch random.Intn(12) {
				case 0:
					i := random.Intn(gateways)
					restart(i)
					for n, at := range began {
						if at == i {
							delete(began, n)
						}
					}
				case 1:
					collector = random.Intn(gateways)
				default:
					at := random.Intn(gateways)
					count++
					began[count] = at
					keepers[at].Begin(begun(count, "v1"))
				}
				exchange(0.5)
			}
			for range 100 {
				exchange(0)
			}
			for n := range began {
				for i, keeper := range keepers {
					_, found := keeper.Origin(currantwood.Fingerprint(n))
					Expect(found).To(BeTrue(), "seed %d, stream %d, gateway %d", seed, n, i)
				}
			}
		}
	})
})
