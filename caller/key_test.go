package caller

import (
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/proof/redlister"
)

func TestCaller(t *testing.T) {
	RegisterFailHandler(Fail)
	redlister.Skipper{}.RunSpecs(t, "caller")
}

// refused stands for a header that readKey refuses.
const refused = currantwood.OperationKey("\x00refused")

var _ = DescribeTable("reading the Idempotency-Key header",
	func(want currantwood.OperationKey, values ...string) {
		key, refusal := readKey(http.Header{headerIdempotencyKey: values})
		if refusal != nil {
			Expect(refusal.Kind).To(Equal(currantwood.KindBadRequest))
			key = refused
		}
		Expect(key).To(Equal(want))
	},
	Entry("absent", currantwood.OperationKey("")),
	Entry("without quotes", currantwood.OperationKey("filing-2291"), "filing-2291"),
	Entry("with quotes: the same key", currantwood.OperationKey("filing-2291"), `"filing-2291"`),
	Entry("surrounding spaces", currantwood.OperationKey("a"), ` "a" `),
	Entry("escaped quote and backslash", currantwood.OperationKey(`a"\b`), `"a\"\\b"`),
	Entry("empty string: like an absent header", currantwood.OperationKey(""), `""`),
	Entry("maximum length", currantwood.OperationKey(strings.Repeat("a", 255)), strings.Repeat("a", 255)),
	Entry("longer than the maximum", refused, strings.Repeat("a", 256)),
	Entry("missing closing quote", refused, `"a`),
	Entry("text after the closing quote", refused, `"a";b`),
	Entry("unknown escape", refused, `"\a"`),
	Entry("escape at the end", refused, `"a\`),
	Entry("non-ASCII character", refused, "é"),
	Entry("line break", refused, "a\nb"),
	Entry("header sent twice", refused, "a", "a"),
)
