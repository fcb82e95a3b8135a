package sites_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSites(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sites")
}
