package prefixtracker_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/prefixtracker"
	"github.com/currantwood/currantwood/proof/redlister"
)

func TestPrefixtracker(t *testing.T) {
	RegisterFailHandler(Fail)
	redlister.Skipper{}.RunSpecs(t, "prefixtracker")
}

var _ = Describe("Tracker", func() {
	start := time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)

	It("lowers the expected tokens with age and limits the prefixes per upstream", func() {
		options := prefixtracker.DefaultOptions()
		options.MaxPerUpstream = 2
		t := prefixtracker.New(options)
		for prefix := range currantwood.PrefixID(4) {
			t.RecordCached(start, "a", prefix, 1000)
		}
		Expect(t.CachedTokens(start, "a", 0)).To(BeZero(), "no prefix")
		Expect(t.CachedTokens(start, "a", 1)).To(BeZero(), "evicted")
		Expect(t.CachedTokens(start, "a", 3)).To(BeEquivalentTo(1000))
		Expect(t.CachedTokens(start.Add(options.HalfLife), "a", 3)).To(BeEquivalentTo(500))
		Expect(t.CachedTokens(start, "b", 3)).To(BeZero(), "another upstream")
		t.RecordEvicted("a", 3)
		Expect(t.CachedTokens(start, "a", 3)).To(BeZero())
		t.RemoveUpstream("a")
		Expect(t.CachedTokens(start, "a", 2)).To(BeZero())
	})
})
