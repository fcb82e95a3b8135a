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
	heartbeatInterval = 20 * time.Millisecond
	silenceTimeout    = 200 * time.Millisecond
	// waitTimeout bounds each wait, far above what any step takes.
	waitTimeout = 20 * time.Second
)

// testEnd is one end of a link with the frames and close errors it received.
type testEnd struct {
	link   *linker.Link
	frames chan *wire.Frame
	closed chan error
}

func newEnd(conn net.Conn, dialed bool, process string) *testEnd {
	e := &testEnd{frames: make(chan *wire.Frame, 10000), closed: make(chan error, 2)}
	link, err := linker.New(conn, linker.Options{
		Dialed: dialed, Hello: &wire.Hello{Process: process}, HeartbeatInterval: heartbeatInterval, SilenceTimeout: silenceTimeout,
		OnFrame:  func(_ *linker.Link, f *wire.Frame) { e.frames <- f },
		OnClosed: func(_ *linker.Link, cause error) { e.closed <- cause },
	})
	if err == nil {
		e.link = link
	}
	return e
}

// slowConn delays each write of slowWriteBytes by slowWriteDelay.
type slowConn struct{ net.Conn }

const (
	slowWriteBytes = 16 << 10
	slowWriteDelay = 5 * time.Millisecond
)

func (c slowConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		time.Sleep(slowWriteDelay)
		n, err := c.Conn.Write(p[written:min(written+slowWriteBytes, len(p))])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// newPair returns two linked ends and the interrupter between them.
func newPair(wrap ...func(net.Conn) net.Conn) (near, far *testEnd, proxy *interrupter.Interrupter) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	proxy, err = interrupter.New(listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(proxy.Close)
	accepted := make(chan *testEnd)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			accepted <- newEnd(conn, false, "far")
		}
	}()
	conn, err := net.Dial("tcp", proxy.Address())
	Expect(err).NotTo(HaveOccurred())
	for _, w := range wrap {
		conn = w(conn)
	}
	near = newEnd(conn, true, "near")
	Eventually(accepted, waitTimeout).Should(Receive(&far))
	Expect(near.link).NotTo(BeNil())
	Expect(far.link).NotTo(BeNil())
	DeferCleanup(near.link.Close)
	DeferCleanup(far.link.Close)
	return near, far, proxy
}

func ackFrame(next uint64) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Ack{Ack: &wire.Ack{NextIndex: next}}}
}

var _ = Describe("Link", func() {
	It("delivers frames in order in both directions and returns the peer's hello", func() {
		near, far, _ := newPair()
		Expect(near.link.Peer().Process).To(Equal("far"))
		for i := range uint64(1000) {
			Expect(near.link.Send(ackFrame(i))).To(Succeed())
			Expect(far.link.Send(ackFrame(i))).To(Succeed())
		}
		for i := range uint64(1000) {
			for _, e := range []*testEnd{near, far} {
				var f *wire.Frame
				Eventually(e.frames, waitTimeout).Should(Receive(&f))
				Expect(f.GetAck().NextIndex).To(Equal(i))
			}
		}
	})

	DescribeTable("closes both ends of a link that is", func(fault func(proxy *interrupter.Interrupter)) {
		near, far, proxy := newPair()
		fault(proxy)
		for _, e := range []*testEnd{near, far} {
			Eventually(e.closed, waitTimeout).Should(Receive(HaveOccurred()))
			Eventually(func() error { return e.link.Send(ackFrame(0)) }, waitTimeout).Should(MatchError(linker.ErrClosed))
			Consistently(e.closed, 2*heartbeatInterval).ShouldNot(Receive())
		}
	},
		Entry("cut", func(proxy *interrupter.Interrupter) { proxy.CloseConnections() }),
		Entry("silent in both directions", func(proxy *interrupter.Interrupter) { proxy.FreezeConnections(true, true) }),
		Entry("silent toward the accepting end", func(proxy *interrupter.Interrupter) { proxy.FreezeConnections(true, false) }),
		Entry("silent toward the dialing end", func(proxy *interrupter.Interrupter) { proxy.FreezeConnections(false, true) }),
	)

	It("stays open with heartbeats as the only frames and with a delay", func() {
		near, far, proxy := newPair()
		proxy.SetDelay(silenceTimeout / 2)
		Consistently(near.closed, 4*silenceTimeout).ShouldNot(Receive())
		Expect(far.link.Send(ackFrame(1))).To(Succeed())
		Eventually(near.frames, waitTimeout).Should(Receive())
	})

	It("stays open while a frame takes longer to arrive than the silence timeout", func() {
		near, far, _ := newPair(func(conn net.Conn) net.Conn { return slowConn{conn} })
		body := make([]byte, 3<<20)
		Expect(near.link.Send(&wire.Frame{Body: &wire.Frame_Start{Start: &wire.Start{Body: body}}})).To(Succeed())
		select {
		case <-far.frames:
		case err := <-near.closed:
			Fail("the sending end was closed: " + err.Error())
		case err := <-far.closed:
			Fail("the receiving end was closed: " + err.Error())
		case <-time.After(waitTimeout):
			Fail("the frame didn't arrive")
		}
		Expect(near.closed).NotTo(Receive())
	})

	It("flushes all frames that were sent before", func() {
		near, far, proxy := newPair()
		proxy.SetDelay(heartbeatInterval)
		for i := range uint64(500) {
			Expect(near.link.Send(ackFrame(i))).To(Succeed())
		}
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		Expect(near.link.Flush(ctx)).To(Succeed())
		Expect(far.frames).To(HaveLen(500))
		proxy.FreezeConnections(true, true)
		Expect(near.link.Flush(ctx)).To(MatchError(linker.ErrClosed))
	})

	It("rejects a peer that doesn't start with a hello", func() {
		client, server := net.Pipe()
		DeferCleanup(client.Close)
		go func() { _, _ = client.Write(bytes.Repeat([]byte{0}, 64)) }()
		Expect(newEnd(server, false, "far").link).To(BeNil())
	})
})
