package drainer

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDrainer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "drainer")
}
