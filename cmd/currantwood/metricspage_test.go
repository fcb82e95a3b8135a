package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// namePattern matches log messages and metric names in calls of loggers, of the log
// methods of a gateway's requests (q) and streams (s), and of the metrics library.
var namePattern = regexp.MustCompile(`(?:[lL]ogger\.(?:Debug|Info|Warn|Error)|[qs]\.log|[gG]auge|Register|NewRegistered(?:Counter|Histogram)|GetOrRegister(?:Counter|Gauge|Histogram))\("([^"]+)"`)

var _ = Describe("the page of log events and metrics", func() {
	It("contains every log message and metric name that namePattern finds", func() {
		page, err := os.ReadFile("../../docs/operators/metrics.md")
		Expect(err).NotTo(HaveOccurred())
		found := 0
		Expect(filepath.WalkDir("../..", func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			source, err := os.ReadFile(path)
			for _, match := range namePattern.FindAllStringSubmatch(string(source), -1) {
				found++
				// No closing backtick: a metric's name may continue with a
				// value, as in "requests-refused-"+kind.String().
				Expect(string(page)).To(ContainSubstring("`"+match[1]), path)
			}
			return err
		})).To(Succeed())
		// A namePattern that matches no calls any more would pass the loop.
		Expect(found).To(BeNumerically(">", 20))
	})
})
