package runstopper_test

import (
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/proof/redlister"
	"github.com/currantwood/currantwood/runstopper"
)

func TestRunStopper(t *testing.T) {
	RegisterFailHandler(Fail)
	redlister.Skipper{}.RunSpecs(t, "run stopper")
}

// reply is what an engine answers to an order.
type reply struct {
	copied currantwood.RunCopy
	err    error
}

// engine answers orders with replies in turn, the last one for good, and questions with state.
type engine struct {
	replies  []reply
	state    currantwood.UpstreamState
	stateErr error
	// orders, questions and dropped count what came.
	orders, questions, dropped int
}

func (e *engine) Copy(order currantwood.CopyOrder, _ time.Duration) (currantwood.RunCopy, error) {
	Expect(order).To(Equal(currantwood.CopyOrder{Request: "r1", From: "engine", To: "spare", Stop: true}))
	r := e.replies[min(e.orders, len(e.replies)-1)]
	e.orders++
	return r.copied, r.err
}

func (e *engine) Drop(currantwood.RunCopy, time.Duration) error {
	e.dropped++
	return nil
}

func (e *engine) State(string, time.Duration) (currantwood.UpstreamState, error) {
	e.questions++
	return e.state, e.stateErr
}

var (
	lost           = reply{err: errors.New("connection closed")}
	refused        = reply{err: errors.Wrap(syscall.ECONNREFUSED, "dial")}
	noSuchRun      = reply{copied: currantwood.RunCopy{SourceStopped: true}, err: errors.New("status 404")}
	stopped        = reply{copied: currantwood.RunCopy{Handle: "h2", SourceStopped: true}}
	working        = currantwood.UpstreamState{Incarnation: 7, Runs: []currantwood.RunState{{Request: "r1", Events: 3}}}
	idle           = currantwood.UpstreamState{Incarnation: 7}
	restarted      = currantwood.UpstreamState{Incarnation: 8, Runs: []currantwood.RunState{{Request: "r1", Events: 3}}}
	errUnreachable = errors.New("no answer")
)

var _ = DescribeTable("Stopper",
	func(e *engine, begun bool, outcome runstopper.Outcome, orders, dropped int) {
		s := runstopper.New(e, e, time.Now)
		result := s.Stop(runstopper.Run{Request: "r1", Address: "engine", Incarnation: 7, Begun: begun, Spare: "spare"})
		Expect(result.Outcome).To(Equal(outcome), outcome.String())
		Expect([]int{result.Orders, e.orders, e.dropped}).To(Equal([]int{orders, orders, dropped}))
	},
	Entry("a run that had ended", &engine{replies: []reply{noSuchRun}}, true, runstopper.Ended, 1, 0),
	Entry("a run on which the engine works on, whose copy is freed", &engine{replies: []reply{stopped}}, true, runstopper.Stopped, 1, 1),
	// Guards against a run that nobody stops, since one order was lost.
	Entry("an order that is lost", &engine{replies: []reply{lost, stopped}}, true, runstopper.Stopped, 2, 1),
	Entry("an engine that has ended", &engine{replies: []reply{refused}}, true, runstopper.Ended, 1, 0),
	// Guards against an order that finds no run, since the request waits in the engine's queue.
	Entry("a request that waited in the queue and was begun then", &engine{replies: []reply{noSuchRun, stopped}, state: working}, false, runstopper.Stopped, 2, 1),
	Entry("a request that waited in the queue and was dropped", &engine{replies: []reply{noSuchRun}, state: idle}, false, runstopper.Ended, 1, 0),
	Entry("an engine that has started again, under the same request id", &engine{replies: []reply{noSuchRun}, state: restarted}, false, runstopper.Ended, 1, 0),
	// Guards against silence that is taken for an end.
	Entry("an engine that answers nothing", &engine{replies: []reply{lost}, stateErr: errUnreachable}, true, runstopper.Unknown, 4, 0),
)

var _ = Describe("Stopper", func() {
	// Guards against the end of a copy from which the request goes on.
	It("leaves the copy alone from which the request goes on", func() {
		e := &engine{replies: []reply{stopped}}
		result := runstopper.New(e, e, time.Now).Stop(runstopper.Run{Request: "r1", Address: "engine", Begun: true, Spare: "spare", UsedHandle: "h2"})
		Expect(result.Outcome).To(Equal(runstopper.Stopped))
		Expect(e.dropped).To(BeZero())
	})

	// Guards against orders without bound for an engine that answers none of them.
	It("skips runs while too many are being stopped", func() {
		release := make(chan struct{})
		s := runstopper.New(blockedMover{release}, &engine{state: idle}, time.Now)
		results := make(chan runstopper.Outcome, 600)
		for range 600 {
			go func() { results <- s.Stop(runstopper.Run{Begun: true}).Outcome }()
		}
		for range 600 - 512 {
			Eventually(results, "3s").Should(Receive(Equal(runstopper.Skipped)))
		}
		Consistently(results, "200ms").ShouldNot(Receive())
		close(release)
		for range 512 {
			Eventually(results, "3s").Should(Receive(Equal(runstopper.Ended)))
		}
	})
})

// blockedMover answers no order before it is released.
type blockedMover struct{ release <-chan struct{} }

func (m blockedMover) Copy(currantwood.CopyOrder, time.Duration) (currantwood.RunCopy, error) {
	<-m.release
	return noSuchRun.copied, noSuchRun.err
}

func (blockedMover) Drop(currantwood.RunCopy, time.Duration) error { return nil }
