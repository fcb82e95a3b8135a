package linter_test

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/configcheck/linter"
	"github.com/currantwood/currantwood/configcheck/renderer"
	"github.com/currantwood/currantwood/gateway"
	"github.com/currantwood/currantwood/platform/decoder"
	"github.com/currantwood/currantwood/platform/settingsreader"
	"github.com/currantwood/currantwood/platform/standin/configuration"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// readOptions returns the options for a settings file.
func readOptions(g Gomega, path string) linter.Options {
	data, err := os.ReadFile(path)
	g.Expect(err).NotTo(HaveOccurred())
	settings, err := settingsreader.Reader{}.Parse(path, data)
	g.Expect(err).NotTo(HaveOccurred())
	return linter.Options{
		Settings:     &settings,
		RevocationAt: settingsreader.Reader{}.RevocationPosition(path, data),
		BodyMemory:   gateway.BodyMemory(settings.MemoryBytes),
	}
}

// lint returns the findings of a document, also if it can't be decoded.
func lint(g Gomega, options linter.Options, path string) renderer.Report {
	content, err := os.ReadFile(path)
	g.Expect(err).NotTo(HaveOccurred())
	document, err := decoder.Decoder{}.Document(path, content)
	report := renderer.Report{File: path, Version: document.Version, Routes: len(document.Routes), Groups: len(document.GroupList), Customers: len(document.Customers)}
	if err != nil {
		undecoded, ok := err.(*currantwood.DocumentError)
		g.Expect(ok).To(BeTrue(), "%v", err)
		report.Findings = []linter.Finding{linter.NewFinding(linter.NotDecoded, undecoded.Position, undecoded.Reason)}
		return report
	}
	report.Findings = linter.New(options).Lint(document)
	return report
}

// expectGolden compares a report with its golden files in text and JSON.
func expectGolden(g Gomega, report renderer.Report, path string) {
	for extension, r := range map[string]renderer.Renderer{".txt": {}, ".findings.json": {JSON: true}} {
		var got bytes.Buffer
		g.Expect(r.Render(&got, report)).To(Succeed())
		if *update {
			g.Expect(os.WriteFile(path+extension, got.Bytes(), 0o644)).To(Succeed())
		}
		want, err := os.ReadFile(path + extension)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got.String()).To(Equal(string(want)), path+extension)
	}
}

// TestFindings checks each kind of finding, with file, line and key. It guards against a
// fault that isn't found, and against other findings that the same document causes.
func TestFindings(t *testing.T) {
	// documents maps each document of testdata to the only kind of finding that it has.
	documents := map[string]linter.Code{
		"not-decoded-syntax":     linter.NotDecoded,
		"not-decoded-version":    linter.NotDecoded,
		"group-missing-no-split": linter.GroupMissing,
	}
	for code := linter.NotDecoded; code <= linter.RevocationBeforeApplied; code++ {
		documents[code.String()] = code
	}
	for name, code := range documents {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			settings := "testdata/settings.toml"
			if code == linter.RevocationBeforeApplied {
				settings = "testdata/settings-revocation.toml"
			}
			options := readOptions(g, settings)
			options.InForce = &currantwood.Configuration{Version: 7}
			report := lint(g, options, "testdata/"+name+".json")
			g.Expect(report.Findings).NotTo(BeEmpty())
			for _, finding := range report.Findings {
				g.Expect(finding.Code).To(Equal(code), "%s: %s", finding.DocumentPosition, finding.Message)
				g.Expect(finding.Line).To(BeNumerically(">", 0), finding.Message)
			}
			expectGolden(g, report, "testdata/"+name)
		})
	}
}

// TestSoundConfigurations guards against findings in configurations without fault.
func TestSoundConfigurations(t *testing.T) {
	g := NewWithT(t)
	options := readOptions(g, "testdata/settings.toml")
	options.InForce = &currantwood.Configuration{Version: 7}
	expectGolden(g, lint(g, options, "testdata/sound.json"), "testdata/sound")
	g.Expect(lint(g, options, "testdata/sound.json").Findings).To(BeEmpty())
	g.Expect(lint(g, linter.Options{}, "testdata/sound.json").Findings).To(BeEmpty())
	// The decoder's own example.
	g.Expect(lint(g, linter.Options{}, "../../platform/decoder/testdata/configuration.json").Findings).To(BeEmpty())
}

// TestSettingsAreOptional guards against findings that need settings when there are none.
func TestSettingsAreOptional(t *testing.T) {
	for _, name := range []string{"body-over-memory", "attempts-over-budget", "region-unknown", "revocation-before-applied", "version-not-higher"} {
		g := NewWithT(t)
		g.Expect(lint(g, linter.Options{}, filepath.Join("testdata", name+".json")).Findings).To(BeEmpty(), name)
	}
}

// manyRoutes returns a record with 5,000 routes and half as many customers, in many sets of
// regions.
func manyRoutes(tb testing.TB) []byte {
	content, err := configuration.Record(configuration.Options{Version: 8, Routes: 5000, Timeout: time.Second, Regions: 6})
	if err != nil {
		tb.Fatal(err)
	}
	return content
}

// maxDuration is above the target of one second, which BenchmarkLint measures, since the
// race detector and other tests slow this test.
const maxDuration = 5 * time.Second

// TestThousandsOfRoutes guards against a check whose time grows with routes times customers.
func TestThousandsOfRoutes(t *testing.T) {
	g := NewWithT(t)
	content := manyRoutes(t)
	start := time.Now()
	document, err := decoder.Decoder{}.Document("many.json", content)
	g.Expect(err).NotTo(HaveOccurred())
	findings := linter.New(linter.Options{}).Lint(document)
	took := time.Since(start)
	g.Expect(findings).NotTo(BeEmpty())
	g.Expect(took).To(BeNumerically("<", maxDuration))
}

func BenchmarkLint(b *testing.B) {
	content := manyRoutes(b)
	for b.Loop() {
		document, err := decoder.Decoder{}.Document("many.json", content)
		if err != nil {
			b.Fatal(err)
		}
		linter.New(linter.Options{}).Lint(document)
	}
}
