package progressmeter

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestProgressmeter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "progressmeter")
}
