package streamencoder

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestStreamencoder(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "streamencoder")
}
