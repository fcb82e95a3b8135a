package victimpicker

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestVictimpicker(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "victimpicker")
}
