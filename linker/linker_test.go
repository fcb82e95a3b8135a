package linker_test

import (
	"bytes"
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood/linker"
	"github.com/currantwood/currantwood/standin/interrupter"
	"github.com/currantwood/currantwood/wire"
)

const (
	heartbeat = 20 * time.Millisecond
	silence   = 200 * time.Millisecond
	// bound is far above what any step takes.
	bound = 20 * time.Second
)

// end is one end of a link and what it saw.
type end struct {
	link   *linker.Link
	frames chan *wire.Frame
	closed chan error
}

func newEnd(conn net.Conn, dialed bool, process string) *end {
	e := &end{frames: make(chan *wire.Frame, 10000), closed: make(chan error, 2)}
	link, err := linker.New(conn, linker.Options{
		Dialed: dialed, Hello: &wire.Hello{Process: process}, Heartbeat: heartbeat, Silence: silence,
		Frame:  func(_ *linker.Link, f *wire.Frame) { e.frames <- f },
		Closed: func(_ *linker.Link, cause error) { e.closed <- cause },
	})
	if err == nil {
		e.link = link
	}
	return e
}

// slowConn writes a little at a time.
type slowConn struct{ net.Conn }

const (
	slowChunk = 16 << 10
	slowPause = 5 * time.Millisecond
)

func (c slowConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		time.Sleep(slowPause)
		n, err := c.Conn.Write(p[written:min(written+slowChunk, len(p))])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// pair links two ends through an interrupter.
func pair(wrap ...func(net.Conn) net.Conn) (near, far *end, between *interrupter.Interrupter) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	between, err = interrupter.New(listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(between.Close)
	accepted := make(chan *end)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			accepted <- newEnd(conn, false, "far")
		}
	}()
	conn, err := net.Dial("tcp", between.Address())
	Expect(err).NotTo(HaveOccurred())
	for _, w := range wrap {
		conn = w(conn)
	}
	near = newEnd(conn, true, "near")
	Eventually(accepted, bound).Should(Receive(&far))
	Expect(near.link).NotTo(BeNil())
	Expect(far.link).NotTo(BeNil())
	DeferCleanup(near.link.Close)
	DeferCleanup(far.link.Close)
	return near, far, between
}

func ackFrame(next uint64) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Ack{Ack: &wire.Ack{NextIndex: next}}}
}

var _ = Describe("Link", func() {
	It("carries frames both ways in order and names its peer", func() {
		near, far, _ := pair()
		Expect(near.link.Peer().Process).To(Equal("far"))
		for i := range uint64(1000) {
			Expect(near.link.Send(ackFrame(i))).To(Succeed())
			Expect(far.link.Send(ackFrame(i))).To(Succeed())
		}
		for i := range uint64(1000) {
			for _, e := range []*end{near, far} {
				var f *wire.Frame
				Eventually(e.frames, bound).Should(Receive(&f))
				Expect(f.GetAck().NextIndex).To(Equal(i))
			}
		}
	})

	DescribeTable("ends of a link", func(fault func(between *interrupter.Interrupter)) {
		near, far, between := pair()
		fault(between)
		for _, e := range []*end{near, far} {
			Eventually(e.closed, bound).Should(Receive(HaveOccurred()))
			Eventually(func() error { return e.link.Send(ackFrame(0)) }, bound).Should(MatchError(linker.ErrClosed))
			Consistently(e.closed, 2*heartbeat).ShouldNot(Receive())
		}
	},
		Entry("cut", func(b *interrupter.Interrupter) { b.CutOpen() }),
		Entry("silent in both directions", func(b *interrupter.Interrupter) { b.FreezeOpen(true, true) }),
		Entry("silent towards the end that accepted", func(b *interrupter.Interrupter) { b.FreezeOpen(true, false) }),
		Entry("silent towards the end that dialed", func(b *interrupter.Interrupter) { b.FreezeOpen(false, true) }),
	)

	It("stays open without any frame of its owners, and through a delay", func() {
		near, far, between := pair()
		between.SetDelay(silence / 2)
		Consistently(near.closed, 4*silence).ShouldNot(Receive())
		Expect(far.link.Send(ackFrame(1))).To(Succeed())
		Eventually(near.frames, bound).Should(Receive())
	})

	It("stays open while one frame takes longer to arrive than the silence", func() {
		near, far, _ := pair(func(conn net.Conn) net.Conn { return slowConn{conn} })
		body := make([]byte, 3<<20)
		Expect(near.link.Send(&wire.Frame{Body: &wire.Frame_Start{Start: &wire.Start{Body: body}}})).To(Succeed())
		Eventually(far.frames, bound).Should(Receive())
		Expect(near.closed).NotTo(Receive())
	})

	It("flushes: the peer has all that was sent before", func() {
		near, far, between := pair()
		between.SetDelay(heartbeat)
		for i := range uint64(500) {
			Expect(near.link.Send(ackFrame(i))).To(Succeed())
		}
		ctx, cancel := context.WithTimeout(context.Background(), bound)
		defer cancel()
		Expect(near.link.Flush(ctx)).To(Succeed())
		Expect(far.frames).To(HaveLen(500))
		between.FreezeOpen(true, true)
		Expect(near.link.Flush(ctx)).To(MatchError(linker.ErrClosed))
	})

	It("refuses a peer that doesn't greet", func() {
		client, server := net.Pipe()
		DeferCleanup(client.Close)
		go func() { _, _ = client.Write(bytes.Repeat([]byte{0}, 64)) }()
		Expect(newEnd(server, false, "far").link).To(BeNil())
	})
})
