package weightclient_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestWeightClient(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "weightclient")
}
