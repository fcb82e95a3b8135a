package bodyskipper

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestBodyskipper(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "bodyskipper")
}
