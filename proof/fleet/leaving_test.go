package fleet_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/demonstrator"
	"github.com/currantwood/currantwood/linker"
	"github.com/currantwood/currantwood/standin/vmlist"
	"github.com/currantwood/currantwood/wire"
)

// maxLeaveDelay is the longest time that an upstream that leaves may still get new
// work.
const maxLeaveDelay = 3 * time.Second

// traffic sends short requests through all entries until stop is called.
type traffic struct {
	served, failed atomic.Int64
	stop           func()
}

// startTraffic starts clients that each send one request after the other.
func (sys *system) startTraffic(clients, tokens int) *traffic {
	t := &traffic{}
	var stopped atomic.Bool
	var wait sync.WaitGroup
	for i := range clients {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for n := 0; !stopped.Load(); n++ {
				// The prompt holds the numbers of the request and of its client.
				if sys.send(i, fmt.Sprintf("summary %d of %d", n, i), tokens).succeeded() {
					t.served.Add(1)
					continue
				}
				t.failed.Add(1)
			}
		}()
	}
	t.stop = func() {
		stopped.Store(true)
		wait.Wait()
	}
	DeferCleanup(t.stop)
	return t
}

// delayVMList makes the VM list lag by a minute.
func delayVMList(sys *system) { sys.VMs.SetFaults(vmlist.Faults{LagMS: 60_000}) }

var _ = Describe("An upstream that leaves", func() {
	DescribeTable("gets no new work after 3 seconds and finishes the work it has",
		func(before func(sys *system), leave func(sys *system, u *demonstrator.Upstream)) {
			sys := newSystem(nil)
			before(sys)
			leaving := sys.Upstreams[0]
			traffic := sys.startTraffic(42, 20)
			Eventually(func() int64 { return leaving.Engine.Counts().Completed }, stepTimeout).Should(BeNumerically(">", 0))
			// Wait for maxLeaveDelay.
			began := time.Now()
			leave(sys, leaving)
			Eventually(func() time.Duration { return time.Since(began) }, stepTimeout).Should(BeNumerically(">", maxLeaveDelay))
			started, served := leaving.Engine.Counts().Streams, traffic.served.Load()
			Eventually(traffic.served.Load, stepTimeout).Should(BeNumerically(">", served+100))
			traffic.stop()
			counts := leaving.Engine.Counts()
			Expect(counts.Streams).To(Equal(started))
			Expect(counts.Completed).To(Equal(counts.Streams), "completed streams, of all that were started")
			Expect(traffic.failed.Load()).To(BeZero())
		},
		Entry("announced by its side while the VM list lags", delayVMList, func(_ *system, u *demonstrator.Upstream) {
			Expect(u.Side.Shutdown(context.Background())).To(Succeed())
		}),
		Entry("announced by its side while the VM list is down", func(sys *system) {
			sys.VMs.SetFaults(vmlist.Faults{Down: true})
		}, func(_ *system, u *demonstrator.Upstream) {
			Expect(u.Side.Shutdown(context.Background())).To(Succeed())
		}),
		Entry("announced by the VM list alone", func(*system) {}, func(sys *system, u *demonstrator.Upstream) {
			sys.VMs.Put(currantwood.VM{
				ID: "vm-" + currantwood.VMID(u.ID) + "-side", Role: currantwood.RoleSide.String(), Region: u.Region,
				Address: u.Side.LinkAddress(), Upstream: u.ID, Group: u.Group.Name, Model: u.Group.Model, Leaving: true,
			})
		}),
	)

	It("refuses requests of an entry that does not know yet that the upstream leaves", func() {
		sys := newSystem(nil)
		leaving := sys.Upstreams[0]
		finals := make(chan *wire.Final, 100)
		link := linkUnawareEntry(leaving, finals)
		const maxRequests = 500
		outcomes := make(chan outcome, maxRequests)
		sent := 0
		Eventually(func() int64 {
			// Routing is random, so requests are sent until one reaches this upstream.
			if i := sent; i < maxRequests {
				sent++
				go func() { outcomes <- sys.send(i, fmt.Sprint("long ", i), 60) }()
			}
			return leaving.Engine.Counts().Streams
		}, stepTimeout).Should(BeNumerically(">", 0))
		ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
		defer cancel()
		drained := make(chan error, 1)
		go func() { drained <- leaving.Side.Shutdown(ctx) }()
		Eventually(func() bool { return leaving.Side.Ready() == nil }, stepTimeout).Should(BeFalse())
		started := leaving.Engine.Counts().Streams
		for i := range 20 {
			_ = link.Send(&wire.Frame{Body: &wire.Frame_Start{Start: &wire.Start{
				RequestId: fmt.Sprint(i), GenerationId: fmt.Sprint(i), Model: "court-summary", DeadlineMs: 30_000,
				Class: uint32(currantwood.ClassStream), Body: []byte(`{"standin-tokens":1}`),
			}}})
			var final *wire.Final
			Eventually(finals, stepTimeout).Should(Receive(&final))
			Expect(final.Refusal.GetKind()).To(BeEquivalentTo(currantwood.KindShuttingDown))
			Expect(final.Refusal.GetRan()).To(BeEquivalentTo(currantwood.NotRun))
		}
		Expect(leaving.Engine.Counts().Streams).To(Equal(started))
		Eventually(drained, stepTimeout).Should(Receive(BeNil()))
		for range sent {
			var o outcome
			Eventually(outcomes, stepTimeout).Should(Receive(&o))
			Expect(o.succeeded()).To(BeTrue(), "%+v", o)
		}
	})

	// The engine crashes at the start of the shutdown, as when its VM is taken away with
	// little notice. Refusals say that the request ran, and resends are served.
	It("whose engine is reclaimed at short notice ends work truthfully", func() {
		sys := newSystem(nil)
		results := make(chan []outcome, 28)
		for i := range 28 {
			go func() { results <- sys.resendWhileLost(i, fmt.Sprint("summary ", i), 60) }()
		}
		// The choice of engines is random, so any of them may get none of the work.
		var leaving *demonstrator.Upstream
		Eventually(func() bool {
			for _, u := range sys.Upstreams {
				if u.Engine != nil && runningStreams(u.Engine.Counts()) > 0 {
					leaving = u
					return true
				}
			}
			return false
		}, stepTimeout).Should(BeTrue())
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		go func() { _ = leaving.Side.Shutdown(ctx) }()
		leaving.Engine.Crash()
		for range 28 {
			var outcomes []outcome
			Eventually(results, stepTimeout).Should(Receive(&outcomes))
			last := outcomes[len(outcomes)-1]
			Expect(last.succeeded()).To(BeTrue(), "%+v", outcomes)
			for _, o := range outcomes[:len(outcomes)-1] {
				Expect(o.ran).To(Equal("ran"))
				Expect(o.retryAfter).NotTo(BeEmpty())
			}
		}
	})
})

// linkUnawareEntry links to a side as an entry that ignores all frames but the ends
// of its requests, so that it never learns that the side is leaving.
func linkUnawareEntry(u *demonstrator.Upstream, finals chan<- *wire.Final) *linker.Link {
	conn, err := net.Dial("tcp", u.Side.LinkAddress())
	Expect(err).NotTo(HaveOccurred())
	link, err := linker.New(conn, linker.Options{
		Dialed: true, Hello: &wire.Hello{Process: "unaware-entry", Role: currantwood.RoleEntry.String()},
		HeartbeatInterval: 100 * time.Millisecond, SilenceTimeout: stepTimeout,
		OnFrame: func(_ *linker.Link, frame *wire.Frame) {
			if final := frame.GetFinal(); final != nil {
				finals <- final
			}
		},
		OnClosed: func(*linker.Link, error) {},
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(link.Close)
	return link
}
