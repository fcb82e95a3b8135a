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

// namePattern matches log messages and metric names in source code.
var namePattern = regexp.MustCompile(`(?:[lL]ogger\.(?:Debug|Info|Warn|Error)|[qs]\.log|[gG]auge|Register|NewRegistered(?:Counter|Histogram)|GetOrRegister(?:Counter|Gauge|Histogram))\("([^"]+)"`)

var _ = Describe("the page of log events and metrics", func() {
	It("contains every log message and metric", func() {
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
				Expect(string(page)).To(ContainSubstring("`"+match[1]), path)
			}
			return err
		})).To(Succeed())
		Expect(found).To(BeNumerically(">", 20))
	})
})
