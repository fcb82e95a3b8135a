package peermessenger

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood/capacity/forecaster"
	"github.com/currantwood/currantwood/peerwire"
)

// Guards against a datagram whose promises never expire, so that they take the place of all
// later ones.
var _ = DescribeTable("a promise from another gateway",
	func(inMS, expiresMS uint32, accepted bool) {
		promises := decodePromises(bootSeconds(5), []*peerwire.Promise{{Key: 1, InMs: inMS, ExpiresMs: expiresMS}})
		Expect(len(promises) == 1).To(Equal(accepted))
	},
	Entry("of 2 s", uint32(2000), uint32(3500), true),
	Entry("whose time has come", uint32(0), uint32(300), true),
	Entry("that has expired", uint32(0), uint32(0), false),
	Entry("that never expires", uint32(2000), uint32(1<<31), false),
	Entry("that expires before its time", uint32(2000), uint32(1000), false),
)

var _ = Describe("encodePromises", func() {
	It("keeps key and times", func() {
		now := bootSeconds(5)
		given := []forecaster.SharedPromise{{Key: 7, At: now.Add(time.Second), Expires: now.Add(2 * time.Second)}}
		Expect(decodePromises(now, encodePromises(now, given))).To(Equal(given))
	})

	// Guards against a collector of a large fleet whose link is full of promises.
	It("sends fewer of them to many recipients", func() {
		Expect(digestPromises(1)).To(Equal(256))
		Expect(digestPromises(67)).To(Equal(238))
		Expect(digestPromises(2200)).To(Equal(7))
	})
})
