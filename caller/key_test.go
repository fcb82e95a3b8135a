package caller

import (
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
)

func TestCaller(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "caller")
}

const malformed = currantwood.OperationKey("\x00malformed")

var _ = DescribeTable("reading the Idempotency-Key header",
	func(want currantwood.OperationKey, values ...string) {
		key, refusal := readKey(http.Header{headerIdempotencyKey: values})
		if refusal != nil {
			Expect(refusal.Kind).To(Equal(currantwood.KindBadRequest))
			key = malformed
		}
		Expect(key).To(Equal(want))
	},
	Entry("absent", currantwood.OperationKey("")),
	Entry("without quotes", currantwood.OperationKey("filing-2291"), "filing-2291"),
	Entry("with quotes: the same key", currantwood.OperationKey("filing-2291"), `"filing-2291"`),
	Entry("surrounding spaces", currantwood.OperationKey("a"), ` "a" `),
	Entry("escaped quote and backslash", currantwood.OperationKey(`a"\b`), `"a\"\\b"`),
	Entry("empty string", currantwood.OperationKey(""), `""`),
	Entry("maximum length", currantwood.OperationKey(strings.Repeat("a", 255)), strings.Repeat("a", 255)),
	Entry("longer than the maximum", malformed, strings.Repeat("a", 256)),
	Entry("missing closing quote", malformed, `"a`),
	Entry("text after the closing quote", malformed, `"a";b`),
	Entry("unknown escape", malformed, `"\a"`),
	Entry("escape at the end", malformed, `"a\`),
	Entry("non-ASCII character", malformed, "é"),
	Entry("line break", malformed, "a\nb"),
	Entry("header sent twice", malformed, "a", "a"),
)
