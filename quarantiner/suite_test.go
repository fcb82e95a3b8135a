package quarantiner

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestQuarantiner(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quarantiner")
}
