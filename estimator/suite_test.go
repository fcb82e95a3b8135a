package estimator_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestEstimator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "estimator")
}
