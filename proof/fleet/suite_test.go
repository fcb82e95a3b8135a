package fleet_test

import (
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// knownRed is the environment variable by which .ci/run names the specs of
// KNOWN-RED.txt, as a pattern. Without it all specs run.
const knownRed = "CURRANTWOOD_KNOWN_RED_SPECS"

func TestFleet(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	if pattern := os.Getenv(knownRed); pattern != "" {
		suite.SkipStrings = append(suite.SkipStrings, pattern)
	}
	RunSpecs(t, "fleet", suite, reporter)
}
