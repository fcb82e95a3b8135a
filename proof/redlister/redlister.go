// Package redlister leaves out the specs that KNOWN-RED.txt lists.
package redlister

import (
	"os"

	"github.com/onsi/ginkgo/v2/types"
)

// Variable is the environment variable by which .ci/run names the listed specs,
// as a pattern. Without it all specs run.
const Variable = "CURRANTWOOD_KNOWN_RED_SPECS"

// Lister adds the listed specs to those that a suite skips.
type Lister struct{}

// Apply returns the configuration of a suite without the listed specs.
func (Lister) Apply(suite types.SuiteConfig) types.SuiteConfig {
	if pattern := os.Getenv(Variable); pattern != "" {
		suite.SkipStrings = append(suite.SkipStrings, pattern)
	}
	return suite
}
