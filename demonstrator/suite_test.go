package demonstrator_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDemonstrator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "demonstrator")
}
