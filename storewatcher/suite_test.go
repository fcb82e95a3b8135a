package storewatcher

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestStorewatcher(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "storewatcher")
}
