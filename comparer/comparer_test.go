package comparer_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/comparer"
	"github.com/currantwood/currantwood/parser"
	"github.com/currantwood/currantwood/standin/sites"
)

var _ = Describe("Trace comparison", func() {
	It("counts the recorded requests that match a rule with another ID", func() {
		text := sites.Harbourline().Rules
		before, err := parser.Parse(text)
		Expect(err).NotTo(HaveOccurred())
		after, err := parser.Parse(strings.ReplaceAll(text, "path=/payments/*", "path=/receipts/*"))
		Expect(err).NotTo(HaveOccurred())
		trace := `{"trace":"header"}
{"customer":"self-service-desk","method":"GET","path":"/payments/7"}
{"customer":"self-service-desk","method":"GET","path":"/payments/8"}
{"customer":"portland-advocates","model":"court-summary"}

`
		result, err := comparer.CompareTrace(strings.NewReader(trace), before, after)
		Expect(err).NotTo(HaveOccurred())
		Expect(result).To(Equal(comparer.Result{Requests: 3, Effects: []comparer.Effect{{
			Before: "payment-lookups", Requests: 2, Customers: []currantwood.CustomerID{"self-service-desk"},
		}}}))
		Expect(result.Effects[0].String()).To(Equal("2 requests move from rule payment-lookups to no rule, customers such as [self-service-desk]"))
		_, err = comparer.CompareTrace(strings.NewReader("{}\nnot json\n"), before, after)
		Expect(err).To(MatchError(ContainSubstring("trace line 2")))
	})
})
