package spreader_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSpreader(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "spreader")
}
