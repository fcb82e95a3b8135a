package subsetter

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSubsetter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "subsetter")
}
