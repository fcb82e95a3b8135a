package apportioner

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestApportioner(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "apportioner")
}
