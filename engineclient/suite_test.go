package engineclient_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestEngineclient(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "engineclient")
}
