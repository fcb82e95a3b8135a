package comparer_test

import (
	"bytes"
	"flag"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/configcheck/comparer"
	"github.com/currantwood/currantwood/configcheck/renderer"
	"github.com/currantwood/currantwood/platform/decoder"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func read(g Gomega, path string) currantwood.ConfigurationDocument {
	content, err := os.ReadFile(path)
	g.Expect(err).NotTo(HaveOccurred())
	document, err := decoder.Decoder{}.Document(path, content)
	g.Expect(err).NotTo(HaveOccurred())
	return document
}

// expectGolden compares the differences with their golden files in text and JSON.
func expectGolden(g Gomega, before, path string) []comparer.Difference {
	after := read(g, path)
	report := renderer.Report{File: path, Version: after.Version, Routes: len(after.Routes), Groups: len(after.GroupList), Customers: len(after.Customers),
		Against: before, Differences: comparer.Comparer{}.Compare(read(g, before), after)}
	golden := strings.TrimSuffix(path, ".json")
	if !strings.HasSuffix(before, "/in-force.json") {
		golden = strings.TrimSuffix(before, "-in-force.json")
	}
	for extension, r := range map[string]renderer.Renderer{".txt": {}, ".differences.json": {JSON: true}} {
		var got bytes.Buffer
		g.Expect(r.Render(&got, report)).To(Succeed())
		if *update {
			g.Expect(os.WriteFile(golden+extension, got.Bytes(), 0o644)).To(Succeed())
		}
		want, err := os.ReadFile(golden + extension)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got.String()).To(Equal(string(want)), golden+extension)
	}
	return report.Differences
}

// TestDifferences checks each kind of difference. It guards against a change that the
// operator isn't told of.
func TestDifferences(t *testing.T) {
	type pair struct{ before, after string }
	cases := map[string]pair{}
	for code := comparer.RequestsNew; code <= comparer.LimitRaised; code++ {
		cases[code.String()] = pair{"in-force", code.String()}
	}
	cases["route-removed"] = pair{"route-removed-in-force", "no-change"}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var codes []string
			for _, difference := range expectGolden(g, "testdata/"+c.before+".json", "testdata/"+c.after+".json") {
				codes = append(codes, difference.Code.String())
			}
			g.Expect(codes).To(ContainElement(name))
		})
	}
	for _, name := range []string{"customers-not-listed", "regions-moved"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(expectGolden(g, "testdata/in-force.json", "testdata/"+name+".json")).NotTo(BeEmpty())
		})
	}
}

// TestNoDifference guards against differences between documents that serve the same.
func TestNoDifference(t *testing.T) {
	g := NewWithT(t)
	g.Expect(expectGolden(g, "testdata/in-force.json", "testdata/no-change.json")).To(BeEmpty())
}

// TestNoKeyIsPrinted guards against API keys in a report, which may be kept or sent.
func TestNoKeyIsPrinted(t *testing.T) {
	g := NewWithT(t)
	for _, name := range []string{"api-keys-withdrawn", "api-keys-new", "api-keys-moved"} {
		for _, d := range (comparer.Comparer{}).Compare(read(g, "testdata/in-force.json"), read(g, "testdata/"+name+".json")) {
			g.Expect(d.Message).NotTo(MatchRegexp(`\bk[1-5]\b`))
		}
	}
}

// TestReversedOrder guards against differences that depend on the order of the routes.
func TestReversedOrder(t *testing.T) {
	g := NewWithT(t)
	before, after := read(g, "testdata/in-force.json"), read(g, "testdata/no-change.json")
	after.Routes[0], after.Routes[1] = after.Routes[1], after.Routes[0]
	g.Expect(comparer.Comparer{}.Compare(before, after)).To(BeEmpty())
}

// TestUnmatchedRoutes guards against differences for routes that no request matches, which
// the linter reports.
func TestUnmatchedRoutes(t *testing.T) {
	for _, prefix := range []string{"", "book", "/book", "book/", "/plans/book"} {
		g := NewWithT(t)
		after := read(g, "testdata/requests-new.json")
		after.Routes[2].Prefix = prefix
		g.Expect(comparer.Comparer{}.Compare(read(g, "testdata/in-force.json"), after)).To(BeEmpty(), "%q", prefix)
	}
}

// TestNegativeLimits guards against a difference between values that both mean no limit.
func TestNegativeLimits(t *testing.T) {
	g := NewWithT(t)
	before, after := read(g, "testdata/in-force.json"), read(g, "testdata/no-change.json")
	before.Limits.BodyBytes, after.Limits.BodyBytes = 0, -1
	g.Expect(comparer.Comparer{}.Compare(before, after)).To(BeEmpty())
}

// TestDefaultBodyLimit guards against a limit that is compared with none where gateways use
// their default.
func TestDefaultBodyLimit(t *testing.T) {
	g := NewWithT(t)
	before, after := read(g, "testdata/in-force.json"), read(g, "testdata/no-change.json")
	before.Limits.BodyBytes, after.Limits.BodyBytes = 0, 2*currantwood.DefaultMaxBodyBytes
	differences := comparer.Comparer{}.Compare(before, after)
	g.Expect(differences).To(HaveLen(1))
	g.Expect(differences[0].Code).To(Equal(comparer.LimitRaised))
	after.Limits.BodyBytes = currantwood.DefaultMaxBodyBytes
	g.Expect(comparer.Comparer{}.Compare(before, after)).To(BeEmpty())
}

// TestHostsWithPort guards against differences that are told again for a route whose host has
// a port: requests are matched without theirs, so none matches that route.
func TestHostsWithPort(t *testing.T) {
	g := NewWithT(t)
	before, after := read(g, "testdata/in-force.json"), read(g, "testdata/timeout-shorter.json")
	want := comparer.Comparer{}.Compare(before, after)
	for _, route := range after.Routes {
		route.Host += ":80"
		after.Routes = append(after.Routes, route)
	}
	g.Expect(comparer.Comparer{}.Compare(before, after)).To(Equal(want))
}
