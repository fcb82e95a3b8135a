package abandonkeeper

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestAbandonkeeper(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "abandonkeeper")
}
