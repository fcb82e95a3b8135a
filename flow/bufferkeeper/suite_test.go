package bufferkeeper

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestBufferkeeper(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "bufferkeeper")
}
