package demonstrator_test

import (
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/demonstrator"
	"github.com/currantwood/currantwood/matcher"
)

const callerKey = "key-of-chambers"

var rules = currantwood.Rules{
	Customers: []currantwood.Customer{{ID: "chambers", KeyHash: matcher.HashKey(callerKey), Weight: 1, AskedBy: "test"}},
	Rules: []currantwood.Rule{{
		ID: "summaries", Method: http.MethodPost, Path: "/v1/completions", Model: "court-summary", Group: "writers",
		Class: currantwood.ClassStream, Repeatable: true, Priority: 5, Deadline: 20 * time.Second, AskedBy: "test",
	}},
}

var _ = Describe("a system over loopback", func() {
	It("serves a stream from end to end", func() {
		d, err := demonstrator.New(demonstrator.Options{
			Regions:          []currantwood.RegionID{"kingston"},
			Groups:           []demonstrator.Group{{Name: "writers", Kind: currantwood.UpstreamEngine, Model: "court-summary", Count: 2}},
			EntriesPerRegion: 1,
			Logger:           zap.NewNop(),
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(d.Close)
		d.Entries[0].SetRules(rules)
		Eventually(func(g Gomega) {
			body := complete(g, d.Entries[0].CallerAddress(), `{"model":"court-summary","prompt":"fees","stream":true,"standin-tokens":30}`)
			g.Expect(strings.Count(body, "data: {")).To(Equal(31))
			g.Expect(body).To(HaveSuffix("data: [DONE]\n\n"))
		}).WithTimeout(20 * time.Second).Should(Succeed())
	})
})

func complete(g Gomega, address, body string) string {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(body))
	g.Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer "+callerKey)
	response, err := http.DefaultClient.Do(request)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.StatusCode).To(Equal(http.StatusOK), string(text))
	return string(text)
}
