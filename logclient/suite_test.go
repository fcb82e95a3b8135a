package logclient_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLogClient(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "logclient")
}
