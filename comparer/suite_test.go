package comparer_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestComparer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "comparer")
}
