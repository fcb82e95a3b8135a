package peerkeeper

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPeerkeeper(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "peerkeeper")
}
