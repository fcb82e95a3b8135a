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

// leaveBound is how long new work may still reach an upstream that leaves.
const leaveBound = 3 * time.Second

// traffic is a load of short requests through all entries.
type traffic struct {
	served, failed atomic.Int64
	stop           func()
}

func (w *world) load(callers, tokens int) *traffic {
	t := &traffic{}
	var stopped atomic.Bool
	var wait sync.WaitGroup
	for i := range callers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for n := 0; !stopped.Load(); n++ {
				if w.ask(i, fmt.Sprintf("summary %d of %d", n, i), tokens).whole() {
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

// lateList keeps the VM list a minute behind.
func lateList(w *world) { w.VMs.SetFaults(vmlist.Faults{LagMS: 60_000}) }

var _ = Describe("An upstream that leaves", func() {
	DescribeTable("gets no new work once the bound has passed and finishes what it has",
		func(before func(w *world), leave func(w *world, u *demonstrator.Upstream)) {
			w := newWorld(nil)
			before(w)
			leaver := w.Upstreams[0]
			t := w.load(42, 20)
			Eventually(func() int64 { return leaver.Engine.Counts().Completed }, bound).Should(BeNumerically(">", 0))
			began := time.Now()
			leave(w, leaver)
			Eventually(func() time.Duration { return time.Since(began) }, bound).Should(BeNumerically(">", leaveBound))
			started, served := leaver.Engine.Counts().Streams, t.served.Load()
			Eventually(t.served.Load, bound).Should(BeNumerically(">", served+100))
			t.stop()
			counts := leaver.Engine.Counts()
			Expect(counts.Streams).To(Equal(started))
			Expect(counts.Completed).To(Equal(counts.Streams), "work in flight ran to its end")
			Expect(t.failed.Load()).To(BeZero())
		},
		Entry("by its own notice, the list late", lateList, func(_ *world, u *demonstrator.Upstream) {
			Expect(u.Side.Shutdown(context.Background())).To(Succeed())
		}),
		Entry("by its own notice, the list down", func(w *world) {
			w.VMs.SetFaults(vmlist.Faults{Down: true})
		}, func(_ *world, u *demonstrator.Upstream) {
			Expect(u.Side.Shutdown(context.Background())).To(Succeed())
		}),
		Entry("by the list alone", func(*world) {}, func(w *world, u *demonstrator.Upstream) {
			w.VMs.Put(currantwood.VM{
				ID: "vm-" + currantwood.VMID(u.ID) + "-side", Role: currantwood.RoleSide.String(), Region: u.Region,
				Address: u.Side.LinkAddress(), Upstream: u.ID, Group: u.Group.Name, Model: u.Group.Model, Leaving: true,
			})
		}),
	)

	It("refuses an entry that has not heard of it", func() {
		w := newWorld(nil)
		leaver := w.Upstreams[0]
		finals := make(chan *wire.Final, 100)
		link := deafEntry(leaver, finals)
		const most = 500
		long := make(chan outcome, most)
		asked := 0
		Eventually(func() int64 {
			// Routing draws at random, so requests are sent until one is there.
			if i := asked; i < most {
				asked++
				go func() { long <- w.ask(i, fmt.Sprint("long ", i), 60) }()
			}
			return leaver.Engine.Counts().Streams
		}, bound).Should(BeNumerically(">", 0))
		ctx, cancel := context.WithTimeout(context.Background(), bound)
		defer cancel()
		drained := make(chan error, 1)
		go func() { drained <- leaver.Side.Shutdown(ctx) }()
		Eventually(func() bool { return leaver.Side.Ready() == nil }, bound).Should(BeFalse())
		started := leaver.Engine.Counts().Streams
		for i := range 20 {
			_ = link.Send(&wire.Frame{Body: &wire.Frame_Start{Start: &wire.Start{
				RequestId: fmt.Sprint(i), GenerationId: fmt.Sprint(i), Model: "court-summary", DeadlineMs: 30_000,
				Class: uint32(currantwood.ClassStream), Body: []byte(`{"standin-tokens":1}`),
			}}})
			var final *wire.Final
			Eventually(finals, bound).Should(Receive(&final))
			Expect(final.Refusal.GetKind()).To(BeEquivalentTo(currantwood.KindShuttingDown))
			Expect(final.Refusal.GetRan()).To(BeEquivalentTo(currantwood.NotRun))
		}
		Expect(leaver.Engine.Counts().Streams).To(Equal(started))
		Eventually(drained, bound).Should(Receive(BeNil()))
		for range asked {
			var o outcome
			Eventually(long, bound).Should(Receive(&o))
			Expect(o.whole()).To(BeTrue(), "%+v", o)
		}
	})

	It("whose engine is reclaimed at short notice ends work truthfully", func() {
		w := newWorld(nil)
		leaver := w.Upstreams[0]
		results := make(chan []outcome, 28)
		for i := range 28 {
			go func() { results <- w.askUntilWhole(i, fmt.Sprint("summary ", i), 60) }()
		}
		Eventually(func() int64 { return leaver.Engine.Counts().Streams }, bound).Should(BeNumerically(">", 0))
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		go func() { _ = leaver.Side.Shutdown(ctx) }()
		leaver.Engine.Crash()
		for range 28 {
			var outcomes []outcome
			Eventually(results, bound).Should(Receive(&outcomes))
			last := outcomes[len(outcomes)-1]
			Expect(last.whole()).To(BeTrue(), "%+v", outcomes)
			for _, o := range outcomes[:len(outcomes)-1] {
				Expect(o.ran).To(Equal("ran"))
				Expect(o.after).NotTo(BeEmpty())
			}
		}
	})
})

// deafEntry links to a side as an entry that takes no notice of what it says
// but the ends of its requests.
func deafEntry(u *demonstrator.Upstream, finals chan<- *wire.Final) *linker.Link {
	conn, err := net.Dial("tcp", u.Side.LinkAddress())
	Expect(err).NotTo(HaveOccurred())
	link, err := linker.New(conn, linker.Options{
		Dialed: true, Hello: &wire.Hello{Process: "deaf", Role: currantwood.RoleEntry.String()},
		Heartbeat: 100 * time.Millisecond, Silence: bound,
		Frame: func(_ *linker.Link, frame *wire.Frame) {
			if final := frame.GetFinal(); final != nil {
				finals <- final
			}
		},
		Closed: func(*linker.Link, error) {},
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(link.Close)
	return link
}
