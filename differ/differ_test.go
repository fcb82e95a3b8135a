package differ_test

import (
	"strings"

	"github.com/currantwood/currantwood/differ"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var _ = Describe("Encode and Apply", func() {
	It("turn any old text into any new one", func() {
		text := rapid.Custom(func(t *rapid.T) string {
			return strings.Join(rapid.SliceOf(rapid.SampledFrom([]string{"a\n", "b\n", "c\n", "=0 1\n", "+1\n", "\n", "end"})).Draw(t, "lines"), "")
		})
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			old, changed := text.Draw(t, "old"), text.Draw(t, "changed")
			got, err := differ.Apply(old, differ.Encode(old, changed))
			if err != nil || got != changed {
				t.Fatalf("got %q, %v", got, err)
			}
		})
	})

	It("produce a short diff for a small change of a long text", func() {
		var b strings.Builder
		for i := range 10000 {
			b.WriteString("line " + strings.Repeat("x", i%50) + string(rune('a'+i%26)) + strings.Repeat("y", i/50) + "\n")
		}
		old := b.String()
		Expect(len(differ.Encode(old, strings.Replace(old, "line xxa", "line changed", 1)))).To(BeNumerically("<", 200))
	})

	DescribeTable("return an error for an invalid diff", func(diff string) {
		_, err := differ.Apply("a\n", diff)
		Expect(err).To(HaveOccurred())
	},
		Entry("copies beyond the end", "=0 2\n"),
		Entry("copies from before the start", "=-1 1\n"),
		Entry("end of the range overflows", "=1 9223372036854775807\n"),
		Entry("inserted lines missing", "+2\nx\n"),
		Entry("unknown operation", "x\n"),
		Entry("not a number", "=a 1\n"),
	)
})
