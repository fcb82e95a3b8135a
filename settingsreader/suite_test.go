package settingsreader_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSettingsReader(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settingsreader")
}
