package peerkeeper

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood/budgeter"
)

// retryWindow is the window of the retry budget in these specs.
const retryWindow = 10 * time.Second

func used(requests, retries int) budgeter.GroupUsage {
	return budgeter.GroupUsage{"g": {Requests: requests, Retries: retries}}
}

// Guards against retries that the others forget when a gateway restarts.
var _ = Describe("The retries of former processes", func() {
	It("count until the window has passed, their requests don't", func() {
		k := New(peer("a"))
		k.ApplyState(start, peer("b"), State{Process: 1, RetryUsage: used(100, 30)})
		k.ApplyState(atMS(500), peer("b"), State{Process: 2, RetryUsage: used(3, 1)})
		Expect(k.TotalUsage(atMS(600), retryWindow, "", nil)).To(Equal(used(3, 31)))
		By("also for the new process itself, which doesn't know of them")
		Expect(k.TotalUsage(atMS(600), retryWindow, "b", nil)["g"].Retries).To(Equal(30))
		k.ApplyState(atMS(10_600), peer("b"), State{Process: 2, RetryUsage: used(3, 1)})
		Expect(k.TotalUsage(atMS(10_600), retryWindow, "", nil)).To(Equal(used(3, 1)))
	})

	It("count though the collector that knew of them ends", func() {
		k := New(peer("b"))
		Expect(k.AcceptDigest(start, peer("a"), true)).To(BeTrue())
		k.SetDigestUsage(used(100, 40))
		k.InheritUsage(atMS(800))
		By("all of it until the gateways have reported")
		Expect(k.TotalUsage(atMS(900), retryWindow, "", nil)["g"].Retries).To(Equal(40))
		k.ApplyState(atMS(1000), peer("c"), State{Process: 1, RetryUsage: used(50, 15)})
		By("then what they don't account for")
		Expect(k.TotalUsage(atMS(2400), retryWindow, "", nil)["g"].Retries).To(Equal(40))
		k.ApplyState(atMS(9000), peer("c"), State{Process: 1, RetryUsage: used(50, 16)})
		Expect(k.TotalUsage(atMS(9100), retryWindow, "", nil)["g"].Retries).To(Equal(25 + 16))
		k.ApplyState(atMS(11_000), peer("c"), State{Process: 1, RetryUsage: used(50, 16)})
		Expect(k.TotalUsage(atMS(11_000), retryWindow, "", nil)["g"].Retries).To(Equal(16))
	})

	It("are left with the collector: a new process doesn't take its place", func() {
		old := Peer{VM: "b", Address: "b:7200", Capacity: 100, Established: true}
		k := New(Peer{VM: "a", Capacity: 900})
		Expect(k.AcceptDigest(start, old, true)).To(BeTrue())
		k.SetEstablished(true)
		Expect(k.AcceptDigest(atMS(100), old, true)).To(BeFalse())
	})
})

var _ = It("CountEstablished counts the gateways heard from that are established", func() {
	k := New(peer("a"))
	k.ApplyState(start, Peer{VM: "b", Established: true}, State{})
	k.ApplyState(start, Peer{VM: "c"}, State{})
	Expect(k.CountEstablished(start)).To(Equal(1))
	k.SetEstablished(true)
	Expect(k.CountEstablished(start)).To(Equal(2))
	Expect(k.CountEstablished(atMS(2000))).To(Equal(1))
})

// Guards against a datagram that was long on its way and takes back what is known.
var _ = DescribeTable("a state replaces the one before unless it was sent earlier by the same process",
	func(process uint64, sentAt int64, replaces bool) {
		k := New(peer("a"))
		k.ApplyState(start, peer("b"), State{Process: 1, SentAt: 100, RetryUsage: used(10, 5)})
		k.ApplyState(atMS(10), peer("b"), State{Process: process, SentAt: sentAt, RetryUsage: used(9, 4)})
		Expect(k.LastState("b").RetryUsage["g"].Retries == 4).To(Equal(replaces))
	},
	Entry("sent later", uint64(1), int64(101), true),
	Entry("sent earlier", uint64(1), int64(99), false),
	Entry("sent by another process, whose clock is behind", uint64(2), int64(5), true),
)

var _ = It("states of gateways that don't name their process always replace the one before", func() {
	k := New(peer("a"))
	k.ApplyState(start, peer("b"), State{SentAt: 100, RetryUsage: used(10, 5)})
	k.ApplyState(atMS(10), peer("b"), State{SentAt: 99, RetryUsage: used(9, 4)})
	Expect(k.LastState("b").RetryUsage["g"].Retries).To(Equal(4))
})
