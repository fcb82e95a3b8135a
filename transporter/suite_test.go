package transporter

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestTransporter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "transporter")
}
