package contactkeeper_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood/contactkeeper"
	"github.com/currantwood/currantwood/proof/redlister"
)

func TestContactKeeper(t *testing.T) {
	RegisterFailHandler(Fail)
	redlister.Skipper{}.RunSpecs(t, "contact keeper")
}

var _ = Describe("Keeper", func() {
	start := time.Unix(1000, 0)

	// Guards against seeds that are believed for as long as the process runs.
	It("replaces the seeds", func() {
		k := contactkeeper.New([]string{"a:1", "b:1"})
		Expect(k.SetSeeds([]string{"a:1", "b:1"})).To(BeFalse())
		Expect(k.SetSeeds([]string{"c:1", "b:1"})).To(BeTrue())
		Expect(k.All(start)).To(Equal([]string{"b:1", "c:1"}))
	})

	It("keeps what was found for half a minute, beside the seeds", func() {
		k := contactkeeper.New([]string{"a:1"})
		Expect(k.Found(start, "d:1")).To(BeTrue())
		Expect(k.Found(start.Add(20*time.Second), "d:1")).To(BeFalse())
		Expect(k.Found(start, "a:1")).To(BeTrue())
		Expect(k.All(start.Add(50 * time.Second))).To(Equal([]string{"a:1", "d:1"}))
		Expect(k.All(start.Add(51 * time.Second))).To(Equal([]string{"a:1"}))
	})

	It("bounds what was found; the oldest go first", func() {
		k := contactkeeper.New(nil)
		for n := range 10 {
			k.Found(start.Add(time.Duration(n)*time.Second), fmt.Sprintf("%d:1", n))
		}
		Expect(k.All(start.Add(10 * time.Second))).To(Equal([]string{"4:1", "5:1", "6:1", "7:1", "8:1", "9:1"}))
	})
})
