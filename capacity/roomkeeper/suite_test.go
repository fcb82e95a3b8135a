package roomkeeper

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRoomkeeper(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "roomkeeper")
}
