package crashsaver

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCrashsaver(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "crashsaver")
}
