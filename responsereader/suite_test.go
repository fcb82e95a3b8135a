package responsereader

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestResponsereader(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "responsereader")
}
