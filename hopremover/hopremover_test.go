package hopremover_test

import (
	"net/http"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood/hopremover"
	"github.com/currantwood/currantwood/proof/redlister"
)

func TestHopremover(t *testing.T) {
	RegisterFailHandler(Fail)
	redlister.Skipper{}.RunSpecs(t, "hopremover")
}

var _ = DescribeTable("Remove", func(given, want http.Header) {
	hopremover.Remove(given)
	Expect(given).To(Equal(want))
},
	Entry("keeps end-to-end headers", http.Header{"X-A": {"1", "2"}, "Date": {"d"}}, http.Header{"X-A": {"1", "2"}, "Date": {"d"}}),
	Entry("deletes the headers of its fixed list", http.Header{"Keep-Alive": {"timeout=1"}, "Te": {"x"}, "Upgrade": {"h2c"}, "Content-Length": {"3"}, "Transfer-Encoding": {"chunked"}}, http.Header{}),
	Entry("deletes the headers that Connection names, in any letter case and on several Connection lines",
		http.Header{"Connection": {"x-own, close", "X-Other"}, "X-Own": {"1"}, "X-Other": {"1"}, "X-Kept": {"1"}},
		http.Header{"X-Kept": {"1"}}),
)
