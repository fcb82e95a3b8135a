package logwriter

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLogwriter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "logwriter")
}
