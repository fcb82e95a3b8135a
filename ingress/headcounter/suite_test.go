package headcounter

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestHeadcounter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "headcounter")
}
