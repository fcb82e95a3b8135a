package streamsaver

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestStreamsaver(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "streamsaver")
}
