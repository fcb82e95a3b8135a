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
		k.NoteNewest(8)
		k.Confirm(start.Add(2 * time.Second))
		Expect(k.Age(start.Add(3 * time.Second))).To(Equal(3 * time.Second))
		k.SetIfNewer(currantwood.Configuration{Version: 8})
		k.Confirm(start.Add(3 * time.Second))
		Expect(k.Age(start.Add(3 * time.Second))).To(BeZero())
	})
})
