package configkeeper

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
)

var start = time.Unix(1_700_000_000, 0)

var _ = Describe("Keeper", func() {
	It("accepts only newer configurations", func() {
		k := New()
		Expect(k.Version()).To(BeZero())
		for _, c := range []struct {
			version  currantwood.ConfigurationVersion
			accepted bool
		}{{4, true}, {4, false}, {3, false}, {9, true}, {8, false}} {
			Expect(k.SetIfNewer(currantwood.Configuration{Version: c.version})).To(Equal(c.accepted))
		}
		Expect(k.Current().Version).To(Equal(currantwood.ConfigurationVersion(9)))
	})

	It("measures the age from the latest confirmation", func() {
		k := New()
		Expect(k.Age(start)).To(Equal(time.Duration(math.MaxInt64)))
		k.Confirm(start)
		k.Confirm(start.Add(-time.Second))
		Expect(k.Age(start.Add(3 * time.Second))).To(Equal(3 * time.Second))
	})

	It("isn't confirmed while a newer version is known to exist, as when the store came back from a copy without it", func() {
		k := New()
		k.SetIfNewer(currantwood.Configuration{Version: 7})
		k.Confirm(start)
		Expect(k.NoteNewest(8, start.Add(time.Second))).To(BeFalse())
		k.Confirm(start.Add(2 * time.Second))
		Expect(k.Age(start.Add(3 * time.Second))).To(Equal(3 * time.Second))
		k.SetIfNewer(currantwood.Configuration{Version: 8})
		k.Confirm(start.Add(3 * time.Second))
		Expect(k.Age(start.Add(3 * time.Second))).To(BeZero())
	})

	// Guards against keys that are accepted by an older copy of the store, although another
	// gateway is known to have held a newer configuration before that was read.
	It("isn't believed to be the newest if a newer version existed before it was confirmed", func() {
		k := New()
		k.SetIfNewer(currantwood.Configuration{Version: 3})
		k.Confirm(start)
		Expect(k.NoteNewest(6, start.Add(-5*time.Second))).To(BeTrue())
		Expect(k.Age(start)).To(Equal(time.Duration(math.MaxInt64)))
		k.Confirm(start.Add(time.Second))
		Expect(k.Age(start.Add(time.Second))).To(Equal(time.Duration(math.MaxInt64)))
		k.SetIfNewer(currantwood.Configuration{Version: 6})
		k.Confirm(start.Add(2 * time.Second))
		Expect(k.Age(start.Add(2 * time.Second))).To(BeZero())
	})

	It("stays confirmed if the newer version is no newer than what is held", func() {
		k := New()
		k.SetIfNewer(currantwood.Configuration{Version: 6})
		k.Confirm(start)
		Expect(k.NoteNewest(6, start.Add(-5*time.Second))).To(BeFalse())
		Expect(k.Age(start)).To(BeZero())
	})
})
