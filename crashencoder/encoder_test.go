package crashencoder

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/crashkeeper"
)

var start = time.UnixMilli(1_700_000_000_000)

var _ = Describe("Encoder", func() {
	suspect := currantwood.Suspect{Kind: currantwood.SuspectRequest, Fingerprint: 0xbeef}
	crash := crashkeeper.Crash{Suspect: suspect, Upstream: "i-1", Incarnation: 1_699_999_000_000, UnseenRestarts: 1}

	It("encodes crashes as JSON with their time of day, and decodes them to their age", func() {
		record, err := Encoder{}.Encode(start, crashkeeper.SuspectRecord{Suspect: suspect, Crashes: []crashkeeper.AgedCrash{{Crash: crash, Age: 2 * time.Second}}})
		Expect(err).NotTo(HaveOccurred())
		Expect(record.Key).To(Equal("beef"))
		Expect(string(record.Value)).To(MatchJSON(`{"crashes":[{"upstream":"i-1","incarnation":1699999000000,"unseen-restarts":1,"at-ms":1699999998000}]}`))
		decoded, err := Encoder{}.Decode(start.Add(time.Second), record)
		Expect(err).NotTo(HaveOccurred())
		Expect(decoded).To(Equal(crashkeeper.SuspectRecord{Suspect: suspect, Crashes: []crashkeeper.AgedCrash{{Crash: crash, Age: 3 * time.Second}}}))
	})

	It("names the kind in the key of any other suspect than a request", func() {
		suspect := currantwood.Suspect{Kind: currantwood.SuspectPath, Fingerprint: 0xbeef}
		record, err := Encoder{}.Encode(start, crashkeeper.SuspectRecord{Suspect: suspect})
		Expect(err).NotTo(HaveOccurred())
		Expect(record.Key).To(Equal("path-beef"))
		decoded, err := Encoder{}.Decode(start, record)
		Expect(err).NotTo(HaveOccurred())
		Expect(decoded.Suspect).To(Equal(suspect))
	})

	It("keeps a completion before all crashes, also by a clock that is behind", func() {
		part := currantwood.Suspect{Kind: currantwood.SuspectPart, Fingerprint: 0xbeef}
		crash := crashkeeper.Crash{Suspect: part, Upstream: "i-1"}
		record, err := Encoder{}.Encode(start, crashkeeper.SuspectRecord{Suspect: part, Crashes: []crashkeeper.AgedCrash{{Crash: crash, Age: time.Second}}, Completed: true, CompletedAge: 2 * time.Second})
		Expect(err).NotTo(HaveOccurred())
		Expect(string(record.Value)).To(ContainSubstring(`"completed-at-ms":1699999998000`))
		for _, now := range []time.Time{start, start.Add(-time.Minute), start.Add(time.Minute)} {
			decoded, err := Encoder{}.Decode(now, record)
			Expect(err).NotTo(HaveOccurred())
			Expect(decoded.Completed).To(BeTrue())
			Expect(decoded.CompletedAge).To(BeNumerically(">", decoded.Crashes[0].Age))
		}
	})

	DescribeTable("decodes other records",
		func(key, value string, crashes int, fails string) {
			decoded, err := Encoder{}.Decode(start, currantwood.KeyedRecord{Key: key, Value: []byte(value)})
			if fails != "" {
				Expect(err).To(MatchError(ContainSubstring(fails)))
				return
			}
			Expect(err).NotTo(HaveOccurred())
			Expect(decoded.Crashes).To(HaveLen(crashes))
			for _, c := range decoded.Crashes {
				Expect(c.Age).To(BeNumerically(">=", 0))
			}
		},
		Entry("a deleted key", "beef", "", 0, ""),
		Entry("a crash from the future", "beef", `{"crashes":[{"upstream":"a","at-ms":1800000000000}]}`, 1, ""),
		Entry("fields that are unknown", "beef", `{"crashes":[{"upstream":"a","more":1}],"new":{}}`, 1, ""),
		Entry("a key that is no fingerprint", "x", `{"crashes":[]}`, 0, `key "x"`),
		Entry("a value that is no JSON", "beef", `{"crash`, 0, "suspect beef"),
		Entry("an unknown kind", "host-beef", `{"crashes":[]}`, 0, `unknown kind of suspect "host"`),
	)
})
