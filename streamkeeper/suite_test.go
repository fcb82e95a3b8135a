package streamkeeper

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestStreamkeeper(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "streamkeeper")
}
