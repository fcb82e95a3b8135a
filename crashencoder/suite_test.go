package crashencoder

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCrashencoder(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "crashencoder")
}
