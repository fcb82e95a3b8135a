package serviceclient_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestServiceClient(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "serviceclient")
}
