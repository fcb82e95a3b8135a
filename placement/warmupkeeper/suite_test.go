package warmupkeeper

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestWarmupkeeper(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "warmupkeeper")
}
