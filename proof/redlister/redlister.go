// Package redlister skips the Ginkgo specs that KNOWN-RED.txt lists.
package redlister

import (
	"os"

	"github.com/onsi/ginkgo/v2/types"
)

// SkipPatternVariable is the environment variable in which .ci/run passes a regular
// expression that matches the listed specs. Without it all specs run.
const SkipPatternVariable = "CURRANTWOOD_KNOWN_RED_SPECS"

// Lister adds the pattern of SkipPatternVariable to the specs that a suite skips.
type Lister struct{}

// Apply returns the configuration with the listed specs skipped.
func (Lister) Apply(suite types.SuiteConfig) types.SuiteConfig {
	if pattern := os.Getenv(SkipPatternVariable); pattern != "" {
		suite.SkipStrings = append(suite.SkipStrings, pattern)
	}
	return suite
}
