package limitkeeper

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLimitkeeper(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "limitkeeper")
}
