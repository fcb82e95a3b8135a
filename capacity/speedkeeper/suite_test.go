package speedkeeper

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSpeedkeeper(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "speedkeeper")
}
