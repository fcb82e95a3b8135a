package connlimiter

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestConnlimiter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "connlimiter")
}
