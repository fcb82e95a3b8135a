package streamencoder

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/streamkeeper"
)

var _ = Describe("Encoder", func() {
	timeOfDay, now := time.UnixMilli(1_700_000_007_250), time.Unix(50, 0)
	starts := []streamkeeper.Start{
		{Stream: 0xabc, Origin: streamkeeper.Origin{Group: "g", Version: "v1"}},
		{Stream: 0xdef, Origin: streamkeeper.Origin{Group: "g", Version: "v1.1"}},
		{Stream: 0x123, Origin: streamkeeper.Origin{Group: "g", Version: "v1"}},
	}

	It("writes JSON grouped by origin under the key of its slot and writer", func() {
		record, err := Encoder{Writer: 3}.Encode(timeOfDay, starts)
		Expect(err).NotTo(HaveOccurred())
		Expect(record.Key).To(Equal("07-3"))
		Expect(string(record.Value)).To(Equal(`{"at-ms":1700000007250,"origins":[{"group":"g","version":"v1","streams":["abc","123"]},{"group":"g","version":"v1.1","streams":["def"]}]}`))
	})

	DescribeTable("reads what it wrote",
		func(later, age time.Duration) {
			record, err := Encoder{}.Encode(timeOfDay, starts)
			Expect(err).NotTo(HaveOccurred())
			decoded, err := Encoder{}.Decode(now, timeOfDay.Add(later), record)
			Expect(err).NotTo(HaveOccurred())
			Expect(decoded).To(HaveLen(3))
			origins := map[currantwood.Fingerprint]streamkeeper.Origin{}
			for _, s := range decoded {
				origins[s.Stream] = s.Origin
				Expect(s.At).To(Equal(now.Add(-age)))
			}
			for _, s := range starts {
				Expect(origins).To(HaveKeyWithValue(s.Stream, s.Origin))
			}
		},
		Entry("a while later", 4*time.Second, 4*time.Second),
		Entry("by a clock that is behind", -4*time.Second, time.Duration(0)),
	)

	DescribeTable("reports a record that it can't read",
		func(value string) {
			_, err := Encoder{}.Decode(now, timeOfDay, currantwood.KeyedRecord{Key: "07-3", Value: []byte(value)})
			Expect(err).To(MatchError(ContainSubstring("decode starts of streams 07-3")))
		},
		Entry("no JSON", "x"),
		Entry("a fingerprint that is no number", `{"origins":[{"group":"g","version":"v1","streams":["xyz"]}]}`),
	)

	It("reads nothing from a deleted record", func() {
		Expect(Encoder{}.Decode(now, timeOfDay, currantwood.KeyedRecord{Key: "07-3"})).To(BeEmpty())
	})
})
