package statepoller

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/proof/redlister"
	"github.com/currantwood/currantwood/upstreamkeeper"
)

func TestStatepoller(t *testing.T) {
	RegisterFailHandler(Fail)
	redlister.Skipper{}.RunSpecs(t, "statepoller")
}

var start = time.Unix(1_700_000_000, 0)

// fakeGateway has streams at the engines e1 and e2, and stores the states that
// are applied.
type fakeGateway struct {
	applied map[currantwood.UpstreamID]currantwood.UpstreamState
}

func (fakeGateway) UpstreamsToPoll() []upstreamkeeper.View {
	view := func(id currantwood.UpstreamID) upstreamkeeper.View {
		return upstreamkeeper.View{UpstreamRecord: currantwood.UpstreamRecord{ID: id, Address: string(id) + ":1"}}
	}
	return []upstreamkeeper.View{view("e1"), view("e2")}
}

func (g fakeGateway) ApplyUpstreamState(_ time.Time, id currantwood.UpstreamID, state currantwood.UpstreamState) {
	g.applied[id] = state
}

// fakeReader returns a state for e1 and an error for any other engine.
type fakeReader struct{}

func (fakeReader) State(address string, _ time.Duration) (currantwood.UpstreamState, error) {
	if address != "e1:1" {
		return currantwood.UpstreamState{}, errors.New("refused")
	}
	return currantwood.UpstreamState{Incarnation: 3, Leaving: true}, nil
}

// During a directory outage, an engine announces its leaving only in its own state,
// about two seconds before it ends. Streams are lost if it isn't polled in that
// time.
var _ = Describe("Poller", func() {
	var p *Poller
	var g fakeGateway
	var read time.Time
	BeforeEach(func() {
		g, read = fakeGateway{applied: map[currantwood.UpstreamID]currantwood.UpstreamState{}}, start
		registry := metrics.NewRegistry()
		p = &Poller{
			Options: Options{
				Reader: fakeReader{}, Gateway: g, Logger: zap.NewNop(), Now: func() time.Time { return start },
				DirectoryAge: func(now time.Time) time.Duration { return now.Sub(read) },
			},
			reads:    metrics.NewRegisteredCounter("reads", registry),
			failures: metrics.NewRegisteredCounter("failures", registry),
			pending:  map[currantwood.UpstreamID]bool{},
		}
	})

	It("doesn't poll while the directory is read", func() {
		Expect(p.takeDue(start.Add(500 * time.Millisecond))).To(BeEmpty())
	})

	It("polls each upstream with running requests, one request at a time per upstream, until the directory is read again", func() {
		views := p.takeDue(start.Add(700 * time.Millisecond))
		Expect(views).To(HaveLen(2))
		Expect(p.takeDue(start.Add(900 * time.Millisecond))).To(BeEmpty())
		p.poll(views[0])
		Expect(p.takeDue(start.Add(1100 * time.Millisecond))).To(HaveLen(1))
		read = start.Add(1200 * time.Millisecond)
		p.poll(views[0])
		Expect(p.takeDue(start.Add(1300 * time.Millisecond))).To(BeEmpty())
	})

	It("passes on reported states and only counts failures", func() {
		for _, view := range p.takeDue(start.Add(time.Second)) {
			p.poll(view)
		}
		Expect(g.applied).To(Equal(map[currantwood.UpstreamID]currantwood.UpstreamState{"e1": {Incarnation: 3, Leaving: true}}))
		Expect(p.reads.Count()).To(BeEquivalentTo(2))
		Expect(p.failures.Count()).To(BeEquivalentTo(1))
	})
})
