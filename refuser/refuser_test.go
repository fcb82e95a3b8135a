package refuser_test

import (
	"bytes"
	"flag"
	"fmt"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/proof/redlister"
	"github.com/currantwood/currantwood/refuser"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func TestRefuser(t *testing.T) {
	RegisterFailHandler(Fail)
	redlister.Skipper{}.RunSpecs(t, "refuser")
}

var _ = It("writes each kind as in the golden file", func() {
	var out bytes.Buffer
	for kind := currantwood.KindBadRequest; !strings.HasPrefix(kind.String(), "Kind("); kind++ {
		refusal := currantwood.NewRefusal(kind, "ledger", "one sentence", 1500*time.Millisecond)
		if kind == currantwood.KindOutcomeUnknown {
			refusal.Ran, refusal.Operation = currantwood.RanUnknown, "op-1"
		}
		if kind == currantwood.KindOperationKeyConflict {
			refusal.RetryAfter = 0
		}
		recorder := httptest.NewRecorder()
		refuser.New().Write(recorder, refusal)
		var lines []string
		for name, values := range recorder.Header() {
			lines = append(lines, fmt.Sprintf("%s: %s\n", name, values[0]))
		}
		slices.Sort(lines)
		fmt.Fprintf(&out, "%d\n%s%s\n", recorder.Code, strings.Join(lines, ""), recorder.Body)
	}
	const golden = "testdata/refusals.golden"
	if *update {
		Expect(os.WriteFile(golden, out.Bytes(), 0o644)).To(Succeed())
	}
	want, err := os.ReadFile(golden)
	Expect(err).NotTo(HaveOccurred())
	Expect(out.String()).To(Equal(string(want)))
})
