package headkeeper_test

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood/proof/redlister"
)

// Random schedules are cheap, so many of them run. The fixed seed makes test runs
// repeatable.
func init() {
	for name, value := range map[string]string{"rapid.checks": "10000", "rapid.steps": "50", "rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

func TestHeadKeeper(t *testing.T) {
	RegisterFailHandler(Fail)
	redlister.Skipper{}.RunSpecs(t, "headkeeper")
}
