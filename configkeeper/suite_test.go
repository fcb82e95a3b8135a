package configkeeper

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestConfigkeeper(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "configkeeper")
}
