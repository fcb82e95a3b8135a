package isolator

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestIsolator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "isolator")
}
