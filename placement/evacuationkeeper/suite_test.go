package evacuationkeeper

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestEvacuationkeeper(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "evacuationkeeper")
}
