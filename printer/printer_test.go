package printer_test

import (
	"testing"

	"github.com/currantwood/currantwood/parser"
	"github.com/currantwood/currantwood/printer"
	"github.com/currantwood/currantwood/standin/sites"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	unformatted = "\n\n  # payments\r\n\n\nrule\tb  window=24h0m0s deadline=90s path=/a* group=g   repeatable=no class=payment #asked-by  Ann :  why: so\n" +
		"customer c key-hash=2cf24dba5fb0a30e26e83b2ac5b9e29e1b161e5c1fa7425e73043362938b9824#asked-by Bo\n\n"
	canonical = "# payments\n\nrule b path=/a* group=g class=payment repeatable=no priority=0 deadline=1m30s window=24h # asked-by Ann: why: so\n" +
		"customer c key-hash=2cf24dba5fb0a30e26e83b2ac5b9e29e1b161e5c1fa7425e73043362938b9824 weight=1 # asked-by Bo\n"
)

var _ = Describe("Format", func() {
	It("converts a text to its canonical form", func() {
		Expect(printer.Format(unformatted)).To(Equal(canonical))
	})
	It("returns an empty text for a text of blank lines", func() {
		Expect(printer.Format("\n \n")).To(BeEmpty())
	})
})

// FuzzParse checks that the parser and the printer agree: printing or formatting
// rules and parsing the result yields equal rules, and Format is idempotent.
func FuzzParse(f *testing.F) {
	f.Add(sites.Harbourline().Rules)
	f.Add(sites.Cooperative().Rules)
	f.Add(unformatted)
	f.Fuzz(func(t *testing.T, text string) {
		rules, err := parser.Parse(text)
		if err != nil {
			return
		}
		g := NewWithT(t)
		reparsed, err := parser.Parse(printer.Print(rules))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(reparsed).To(Equal(rules))
		formatted, err := printer.Format(text)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(parser.Parse(formatted)).To(Equal(rules))
		g.Expect(printer.Format(formatted)).To(Equal(formatted))
	})
}
