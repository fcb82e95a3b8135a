package connkeeper

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestConnkeeper(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "connkeeper")
}
