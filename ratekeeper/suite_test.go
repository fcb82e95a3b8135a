package ratekeeper

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRatekeeper(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ratekeeper")
}
