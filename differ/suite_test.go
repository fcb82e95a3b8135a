package differ_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDiffer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "differ")
}
