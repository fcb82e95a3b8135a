package fleet_test

import (
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/demonstrator"
	"github.com/currantwood/currantwood/linker"
	"github.com/currantwood/currantwood/wire"
)

// linkReader links to a side as an entry of the given process that passes on all
// frames.
func linkReader(u *demonstrator.Upstream, process string, frames chan<- *wire.Frame) *linker.Link {
	conn, err := net.Dial("tcp", u.Side.LinkAddress())
	Expect(err).NotTo(HaveOccurred())
	link, err := linker.New(conn, linker.Options{
		Dialed: true, Hello: &wire.Hello{Process: process, Role: currantwood.RoleEntry.String()},
		HeartbeatInterval: stepTimeout, SilenceTimeout: stepTimeout,
		OnFrame:  func(_ *linker.Link, frame *wire.Frame) { frames <- frame },
		OnClosed: func(*linker.Link, error) {},
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(link.Close)
	return link
}

// receiveOf waits for a frame of a generation that wanted accepts and skips others.
func receiveOf(frames <-chan *wire.Frame, wanted func(*wire.Frame) bool) {
	Eventually(func() bool {
		select {
		case frame := <-frames:
			return wanted(frame)
		default:
			return false
		}
	}, stepTimeout, "1ms").Should(BeTrue())
}

func hasTokens(frame *wire.Frame) bool { return frame.GetTokens() != nil }

func isTakenOver(frame *wire.Frame) bool {
	return frame.GetFinal().GetRefusal().GetKind() == uint32(currantwood.KindTakenOver)
}

// Guards against a client that reconnects at another entry and loses the stream to
// the first, which hasn't noticed that it left and recovers from a cut link.
var _ = It("a generation that a client took to another entry isn't taken back by the first, unless the client returns there", func() {
	sys := newSystem(nil)
	side := sys.Upstreams[0]
	first, second := make(chan *wire.Frame, 10_000), make(chan *wire.Frame, 10_000)
	a, b := linkReader(side, "entry-a", first), linkReader(side, "entry-b", second)
	Expect(a.Send(&wire.Frame{Body: &wire.Frame_Start{Start: &wire.Start{
		RequestId: "r", GenerationId: "g", Model: "court-summary", DeadlineMs: 30_000,
		Class: uint32(currantwood.ClassStream), Body: []byte(`{"standin-tokens":2000}`),
	}}})).To(Succeed())
	receiveOf(first, hasTokens)
	resume := func(link *linker.Link, recovery bool) {
		Expect(link.Send(&wire.Frame{Body: &wire.Frame_Resume{Resume: &wire.Resume{
			RequestId: "r", GenerationId: "g", NextIndex: 0, DeadlineMs: 30_000, Recovery: recovery,
		}}})).To(Succeed())
	}
	resume(b, false)
	receiveOf(first, isTakenOver)
	receiveOf(second, hasTokens)
	resume(a, true)
	receiveOf(first, isTakenOver)
	Consistently(func() bool {
		select {
		case frame := <-second:
			return isTakenOver(frame)
		default:
			return false
		}
	}, "300ms", "1ms").Should(BeFalse())
	resume(a, false)
	receiveOf(second, isTakenOver)
	receiveOf(first, hasTokens)
})
