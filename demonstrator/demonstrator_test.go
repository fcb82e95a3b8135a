package demonstrator_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/demonstrator"
	"github.com/currantwood/currantwood/matcher"
	"github.com/currantwood/currantwood/settingsreader"
)

const clientKey = "key-of-chambers"

var rules = currantwood.Rules{
	Customers: []currantwood.Customer{{ID: "chambers", KeyHash: matcher.HashAPIKey(clientKey), Weight: 1, AskedBy: "test"}},
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
			body := sendCompletion(g, d.Entries[0].ClientAddress(), `{"model":"court-summary","prompt":"fees","stream":true,"standin-tokens":30}`)
			// 30 tokens and the event with the finish reason.
			g.Expect(strings.Count(body, "data: {")).To(Equal(31))
			g.Expect(body).To(HaveSuffix("data: [DONE]\n\n"))
		}).WithTimeout(20 * time.Second).Should(Succeed())
	})
})

var _ = Describe("entries that are linked to only some of the sides", func() {
	It("resume a client's stream whichever side runs its generation", func() {
		d, err := demonstrator.New(demonstrator.Options{
			Regions:          []currantwood.RegionID{"kingston"},
			Groups:           []demonstrator.Group{{Name: "writers", Kind: currantwood.UpstreamEngine, Model: "court-summary", Count: 8}},
			EntriesPerRegion: 6,
			Logger:           zap.NewNop(),
			Settings: func(s *settingsreader.Settings) {
				// Links each entry to about 4 of the 8 sides.
				s.Entry.SidesPerGroup, s.Entry.WholeGroup = 4, 1
			},
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(d.Close)
		partlyLinked := 0
		for _, entry := range d.Entries {
			entry.SetRules(rules)
			Eventually(entry.LinkedSideCount).WithTimeout(20 * time.Second).Should(BeNumerically(">", 0))
			if entry.LinkedSideCount() < len(d.Upstreams) {
				partlyLinked++
			}
		}
		Expect(partlyLinked).To(BeNumerically(">", 0), "every entry is linked to all sides, so the spec would not cover a missing link")
		const tokens = 300
		client := &http.Client{Transport: &http.Transport{}}
		DeferCleanup(client.CloseIdleConnections)
		for first := range d.Entries {
			text := ""
			position := ""
			for reconnect := range d.Entries {
				entry := d.Entries[(first+reconnect)%len(d.Entries)]
				last := reconnect == len(d.Entries)-1
				text += readPart(client, entry.ClientAddress(), &position, last, tokens)
			}
			Expect(distinctTokens(text)).To(HaveLen(tokens), "a client that starts at entry %d gets each token once", first)
		}
	})
})

// readPart resumes the stream at position, reads 20 events, or all that are left, and
// returns their data. It moves position to the last event read.
func readPart(client *http.Client, address string, position *string, all bool, tokens int) string {
	body := fmt.Sprintf(`{"model":"court-summary","prompt":"fees","stream":true,"standin-tokens":%d}`, tokens)
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer "+clientKey)
	if *position != "" {
		request.Header.Set("Last-Event-ID", *position)
	}
	response, err := client.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	Expect(response.StatusCode).To(Equal(http.StatusOK))
	text := ""
	scanner := bufio.NewScanner(response.Body)
	for events := 0; scanner.Scan() && (all || events < 20); {
		line := scanner.Text()
		Expect(line).NotTo(HavePrefix(`data: {"error"`))
		if id, found := strings.CutPrefix(line, "id: "); found {
			*position = id
		}
		if strings.HasPrefix(line, "data: {") {
			text += line
			events++
		}
	}
	return text
}

// distinctTokens returns the tokens "index:mark" in the data of events and fails if one
// occurs twice.
func distinctTokens(text string) []string {
	found := regexp.MustCompile(`"(\d+:[0-9a-f]+) "`).FindAllStringSubmatch(text, -1)
	var tokens []string
	for _, match := range found {
		Expect(tokens).NotTo(ContainElement(match[1]))
		tokens = append(tokens, match[1])
	}
	return tokens
}

// sendCompletion sends a completion request to an entry and returns the body of the
// response.
func sendCompletion(g Gomega, address, body string) string {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(body))
	g.Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer "+clientKey)
	response, err := http.DefaultClient.Do(request)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.StatusCode).To(Equal(http.StatusOK), string(text))
	return string(text)
}
