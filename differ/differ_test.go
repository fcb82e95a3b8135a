package differ_test

import (
	"strings"

	"github.com/currantwood/currantwood/differ"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var _ = Describe("a difference", func() {
	It("turns the old text into the new one, whatever they are", func() {
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

	It("is short for a small change of a long text", func() {
		var b strings.Builder
		for i := range 10000 {
			b.WriteString("line " + strings.Repeat("x", i%50) + string(rune('a'+i%26)) + strings.Repeat("y", i/50) + "\n")
		}
		old := b.String()
		Expect(len(differ.Encode(old, strings.Replace(old, "line xxa", "line changed", 1)))).To(BeNumerically("<", 200))
	})

	DescribeTable("is refused where it does not fit", func(difference string) {
		_, err := differ.Apply("a\n", difference)
		Expect(err).To(HaveOccurred())
	},
		Entry("beyond the end", "=0 2\n"),
		Entry("below the start", "=-1 1\n"),
		Entry("a count that overflows", "=1 9223372036854775807\n"),
		Entry("lines missing", "+2\nx\n"),
		Entry("no operation", "x\n"),
		Entry("no number", "=a 1\n"),
	)
})
