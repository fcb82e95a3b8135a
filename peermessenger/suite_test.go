package peermessenger

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPeermessenger(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "peermessenger")
}
