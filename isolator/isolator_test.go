package isolator

import (
	"fmt"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/currantwood/currantwood"
)

var _ = Describe("Isolator", func() {
	It("runs one suspect at a time, in order of arrival, and skips those that left the queue", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			i := New()
			var running currantwood.EngineStreamID
			var waiting []currantwood.EngineStreamID
			for n := range rapid.IntRange(1, 60).Draw(t, "events") {
				if rapid.Bool().Draw(t, "enter") {
					stream := currantwood.EngineStreamID(fmt.Sprint(n))
					if i.Enter(stream) {
						Expect(running).To(BeEmpty())
						running = stream
						continue
					}
					waiting = append(waiting, stream)
					continue
				}
				// If no suspect is present, running is "" and Leave("") must do nothing.
				present := append(slices.Clone(waiting), running)
				stream := rapid.SampledFrom(present).Draw(t, "leave")
				next := i.Leave(stream)
				if stream != running {
					Expect(next).To(BeEmpty())
					waiting = slices.DeleteFunc(waiting, func(id currantwood.EngineStreamID) bool { return id == stream })
					continue
				}
				running = ""
				if len(waiting) > 0 {
					running, waiting = waiting[0], waiting[1:]
				}
				Expect(next).To(Equal(running))
			}
		})
	})
})
