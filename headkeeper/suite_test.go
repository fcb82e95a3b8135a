package headkeeper_test

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Random schedules are cheap here, so that many of them run each time; the seed is given, so that each run is the same.
func init() {
	for name, value := range map[string]string{"rapid.checks": "10000", "rapid.steps": "50", "rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

func TestHeadKeeper(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "headkeeper")
}
