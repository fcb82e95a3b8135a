package memorykeeper

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestMemorykeeper(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "memorykeeper")
}
