package eventsplitter

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestEventsplitter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "eventsplitter")
}
