package vmclient_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestVMClient(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "vmclient")
}
