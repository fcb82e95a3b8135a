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

var _ = DescribeTable("the Idempotency-Key header",
	func(want currantwood.OperationKey, values ...string) {
		key, refusal := readKey(http.Header{headerKey: values})
		if refusal != nil {
			Expect(refusal.Kind).To(Equal(currantwood.KindBadRequest))
			key = malformed
		}
		Expect(key).To(Equal(want))
	},
	Entry("absent", currantwood.OperationKey("")),
	Entry("bare", currantwood.OperationKey("filing-2291"), "filing-2291"),
	Entry("quoted, the same key", currantwood.OperationKey("filing-2291"), `"filing-2291"`),
	Entry("spaces around", currantwood.OperationKey("a"), ` "a" `),
	Entry("escapes", currantwood.OperationKey(`a"\b`), `"a\"\\b"`),
	Entry("empty string", currantwood.OperationKey(""), `""`),
	Entry("longest", currantwood.OperationKey(strings.Repeat("a", 255)), strings.Repeat("a", 255)),
	Entry("too long", malformed, strings.Repeat("a", 256)),
	Entry("open quote", malformed, `"a`),
	Entry("text after the quote", malformed, `"a";b`),
	Entry("unknown escape", malformed, `"\a"`),
	Entry("escape at the end", malformed, `"a\`),
	Entry("not ASCII", malformed, "é"),
	Entry("line break", malformed, "a\nb"),
	Entry("twice", malformed, "a", "a"),
)
