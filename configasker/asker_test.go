package configasker

import (
	"math/rand"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/proof/redlister"
)

func TestConfigAsker(t *testing.T) {
	RegisterFailHandler(Fail)
	redlister.Skipper{}.RunSpecs(t, "configasker")
}

var start = time.Unix(1_700_000_000, 0)

// step is a version that is heard of at a time after start, and the expected action.
type step struct {
	at      time.Duration
	version currantwood.ConfigurationVersion
	action  Action
}

var _ = DescribeTable("Asker", func(steps ...step) {
	var a Asker
	for _, s := range steps {
		Expect(a.Next(start.Add(s.at), s.version)).To(Equal(s.action), "at %s", s.at)
	}
},
	Entry("asks again when a question may be lost, and reads when no answer arrives",
		step{0, 7, ActionAsk}, step{50 * time.Millisecond, 7, ActionWait}, step{120 * time.Millisecond, 7, ActionAsk},
		step{349 * time.Millisecond, 7, ActionAsk}, step{350 * time.Millisecond, 7, ActionRead}, step{400 * time.Millisecond, 7, ActionRead}),
	Entry("asks for a newer version at once, but doesn't put off the read",
		step{0, 7, ActionAsk}, step{50 * time.Millisecond, 9, ActionAsk}, step{100 * time.Millisecond, 9, ActionWait}, step{350 * time.Millisecond, 9, ActionRead}),
)

var _ = It("Asker reads at once what the collector declines to send, and asks for the next version", func() {
	var a Asker
	Expect(a.Next(start, 7)).To(Equal(ActionAsk))
	a.Decline(6)
	Expect(a.Next(start.Add(time.Millisecond), 7)).To(Equal(ActionWait))
	a.Decline(7)
	Expect(a.Next(start.Add(2*time.Millisecond), 7)).To(Equal(ActionRead))
	a.CaughtUp()
	Expect(a.Next(start.Add(time.Second), 8)).To(Equal(ActionAsk))
})

// Answers the load pattern of versions in quick succession on a large fleet: reads must not
// grow with the gateways, and a gateway that hears no answers must not fall behind.
var _ = DescribeTable("a fleet takes in versions in quick succession",
	func(gateways int, answered float64, mostReads int) {
		const gap, versions, tick, answerDelay = 330 * time.Millisecond, 12, 50 * time.Millisecond, 50 * time.Millisecond
		random := rand.New(rand.NewSource(int64(gateways)))
		reads := 0
		for range gateways {
			var a Asker
			var held currantwood.ConfigurationVersion
			var answerAt time.Time
			behindSince := start
			for t := time.Duration(0); t < (versions+4)*gap; t += tick {
				now, newest := start.Add(t), currantwood.ConfigurationVersion(min(versions, 1+int(t/gap)))
				if !answerAt.IsZero() && !now.Before(answerAt) {
					held, answerAt = newest, time.Time{}
				}
				if held >= newest {
					behindSince = now
					a.CaughtUp()
					continue
				}
				switch a.Next(now, newest) {
				case ActionAsk:
					if random.Float64() < answered {
						answerAt = now.Add(answerDelay)
					}
				case ActionRead:
					reads++
					held = newest
				}
				Expect(now.Sub(behindSince)).To(BeNumerically("<=", askTimeout+2*tick))
			}
			Expect(held).To(BeEquivalentTo(versions))
		}
		Expect(reads).To(BeNumerically("<=", mostReads))
	},
	Entry("68 gateways, all answers arrive", 68, 1.0, 0),
	Entry("68 gateways, one question in ten is lost", 68, 0.9, 68),
	Entry("2200 gateways, all answers arrive", 2200, 1.0, 0),
	Entry("68 gateways, no answer arrives", 68, 0.0, 68*12),
)
