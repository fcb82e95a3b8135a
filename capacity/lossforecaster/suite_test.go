package lossforecaster

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLossForecaster(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "lossforecaster")
}
