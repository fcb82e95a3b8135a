package streams_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood/proof/redlister"
)

func TestStreams(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	RunSpecs(t, "streams", redlister.Skipper{}.Apply(suite), reporter)
}
