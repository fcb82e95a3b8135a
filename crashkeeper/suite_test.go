package crashkeeper

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCrashkeeper(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "crashkeeper")
}
