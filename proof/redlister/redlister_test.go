package redlister_test

import (
	"bytes"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	"github.com/onsi/ginkgo/v2/types"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood/proof/redlister"
)

func TestRedlister(t *testing.T) {
	RegisterFailHandler(Fail)
	redlister.Skipper{}.RunSpecs(t, "redlister")
}

// unfilteredSuites returns the test files below root that run specs without a Skipper. Those of
// the reviews aren't the project's.
func unfilteredSuites(root string) []string {
	var found []string
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && path == filepath.Join(root, "review") {
			return filepath.SkipDir
		}
		if entry.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return nil
		}
		text, err := os.ReadFile(path)
		for line := range bytes.Lines(text) {
			call := strings.TrimSpace(string(line))
			if strings.HasPrefix(call, "RunSpecs(") || strings.HasPrefix(call, "ginkgo.RunSpecs(") {
				found = append(found, path)
			}
		}
		return err
	})
	Expect(err).NotTo(HaveOccurred())
	return found
}

var _ = Describe("Skipper", func() {
	It("adds the pattern of the environment to what is skipped", func() {
		GinkgoT().Setenv(redlister.SkipPatternVariable, "a b$|c")
		suite := redlister.Skipper{}.Apply(types.SuiteConfig{SkipStrings: []string{"d"}})
		Expect(suite.SkipStrings).To(Equal([]string{"d", "a b$|c"}))
	})

	It("skips nothing without one", func() {
		GinkgoT().Setenv(redlister.SkipPatternVariable, "")
		Expect(redlister.Skipper{}.Apply(types.SuiteConfig{}).SkipStrings).To(BeEmpty())
	})

	// Guards against a listed spec that CI runs, as its suite doesn't read the list: CI hung
	// at one.
	It("runs each suite of the project", func() {
		Expect(unfilteredSuites(filepath.Join("..", ".."))).To(BeEmpty())
	})
})
