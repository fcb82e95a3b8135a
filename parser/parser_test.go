package parser_test

import (
	"flag"
	"os"
	"path/filepath"
	"strings"

	"github.com/currantwood/currantwood/parser"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var update = flag.Bool("update", false, "rewrite the golden files")

var _ = Describe("Parse", func() {
	files, _ := filepath.Glob("testdata/refused*.rules")
	for _, file := range files {
		It("reports the problems of "+filepath.Base(file), func() {
			text, err := os.ReadFile(file)
			Expect(err).NotTo(HaveOccurred())
			_, err = parser.Parse(string(text))
			Expect(err).To(HaveOccurred())
			golden := strings.TrimSuffix(file, ".rules") + ".golden"
			if *update {
				Expect(os.WriteFile(golden, []byte(err.Error()+"\n"), 0o644)).To(Succeed())
			}
			want, readErr := os.ReadFile(golden)
			Expect(readErr).NotTo(HaveOccurred())
			Expect(err.Error() + "\n").To(Equal(string(want)))
		})
	}

	It("rejects a text of more than MaxTextBytes", func() {
		_, err := parser.Parse(strings.Repeat("\n", parser.MaxTextBytes+1))
		Expect(err).To(MatchError(ContainSubstring("a text of at most")))
	})
})
