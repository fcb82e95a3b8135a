package linker_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLinker(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "linker")
}
