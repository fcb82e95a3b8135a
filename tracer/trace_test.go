package tracer_test

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood/proof/redlister"
	"github.com/currantwood/currantwood/tracer"
)

func TestTracer(t *testing.T) {
	RegisterFailHandler(Fail)
	redlister.Skipper{}.RunSpecs(t, "tracer")
}

var _ = Describe("Trace", func() {
	const header = `{"trace":"t","source":"recorded","regions":[{"region":"r","engines":1}]}` + "\n"

	It("reads a trace that it wrote", func() {
		trace, err := tracer.Generate(tracer.GenerateOptions{Profile: "reclaimed-third", Seed: 7, Requests: 200})
		Expect(err).NotTo(HaveOccurred())
		var file bytes.Buffer
		Expect(trace.Write(&file)).To(Succeed())
		Expect(tracer.Read(&file)).To(Equal(trace))
	})

	DescribeTable("rejects",
		func(file, want string) {
			_, err := tracer.Read(strings.NewReader(file))
			Expect(err).To(MatchError(ContainSubstring(want)))
		},
		Entry("an empty file", "", "header"),
		Entry("a request in place of the header", `{"arrival-ms":1}`, "line 1"),
		Entry("an unknown key", header+`{"arrival-ms":1,"tokens":5}`, "line 2"),
		Entry("requests out of order", header+`{"arrival-ms":2,"output-tokens":1}`+"\n"+`{"arrival-ms":1,"output-tokens":1}`, "line 3"),
		Entry("a request without output", header+`{"arrival-ms":2}`, "output-tokens"),
		Entry("a truncated line", header+`{"arrival-ms":2`, "line 2"),
	)

	DescribeTable("generates the same trace from the same seed, at an offered load of 1",
		func(profile string) {
			options := tracer.GenerateOptions{Profile: profile, Seed: 3, Requests: 500}
			first, err := tracer.Generate(options)
			Expect(err).NotTo(HaveOccurred())
			Expect(tracer.Generate(options)).To(Equal(first))
			Expect(first.OfferedLoad()).To(BeNumerically("~", 1, 0.01))
			options.Seed++
			Expect(tracer.Generate(options)).NotTo(Equal(first))
		},
		profileEntries(),
	)

	It("lists the profiles if the name is unknown", func() {
		_, err := tracer.Generate(tracer.GenerateOptions{Profile: "none", Requests: 20})
		Expect(err).To(MatchError(ContainSubstring("noon-shift")))
	})
})

// profileEntries returns a table entry for each profile.
func profileEntries() (entries []TableEntry) {
	for _, profile := range tracer.Profiles() {
		entries = append(entries, Entry(profile, profile))
	}
	return entries
}
