package main

import (
	"context"
	"io"
	"net/http"
	"os"
	"regexp"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood/ledger"
	"github.com/currantwood/currantwood/standin/sites"
)

// pageOperation is the ID of the operation that the payment request in
// docs/callers.md starts.
var pageOperation = ledger.Scope{Rule: "payments", Key: "filing-2291"}.OperationID()

// shellWords matches the words of a command line; only single quotes are supported.
var shellWords = regexp.MustCompile(`'[^']*'|[^ ]+`)

// pageRequest returns the request that a curl command in docs/callers.md sends, with
// KEY, $ENTRY and OPERATION replaced.
func pageRequest(command, entry, key string) *http.Request {
	method, body, address := http.MethodGet, "", ""
	header := http.Header{}
	args := shellWords.FindAllString(command, -1)
	for i := 1; i < len(args); i++ {
		switch args[i] {
		case "-N":
		case "-H":
			i++
			name, value, _ := strings.Cut(strings.Trim(args[i], "'"), ": ")
			header.Set(name, strings.ReplaceAll(value, "KEY", key))
		case "-d":
			i++
			method, body = http.MethodPost, strings.Trim(args[i], "'")
		default:
			address = strings.NewReplacer("$ENTRY", entry, "OPERATION", pageOperation).Replace(args[i])
		}
	}
	request, err := http.NewRequest(method, address, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Header = header
	return request
}

var _ = Describe("the callers' page", func() {
	It("contains only requests that are served once KEY, $ENTRY and OPERATION are replaced", func() {
		page, err := os.ReadFile("../../docs/callers.md")
		Expect(err).NotTo(HaveOccurred())
		commands := regexp.MustCompile("(?m)^curl .*$").FindAllString(string(page), -1)
		// The number of curl commands on the page, so that the pattern misses none.
		Expect(commands).To(HaveLen(5))
		site, err := startSite(context.Background(), sites.Harbourline(), zap.NewNop())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(site.system.Close)
		entry := "http://" + site.system.Entries[0].ClientAddress()
		for _, command := range commands {
			response, err := http.DefaultClient.Do(pageRequest(command, entry, site.site.Keys[0].Key))
			Expect(err).NotTo(HaveOccurred(), command)
			body, err := io.ReadAll(response.Body)
			Expect(err).NotTo(HaveOccurred(), command)
			Expect(response.Body.Close()).To(Succeed())
			Expect(response.StatusCode).To(Equal(http.StatusOK), "%s\n%s", command, body)
			Expect(body).NotTo(BeEmpty(), command)
			if strings.Contains(command, `"stream":true`) {
				Expect(string(body)).To(HaveSuffix("data: [DONE]\n\n"), command)
			}
		}
	})
})
