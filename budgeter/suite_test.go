package budgeter

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestBudgeter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "budgeter")
}
