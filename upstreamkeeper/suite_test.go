package upstreamkeeper

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestUpstreamkeeper(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "upstreamkeeper")
}
