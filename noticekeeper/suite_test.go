package noticekeeper

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestNoticekeeper(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Noticekeeper")
}
