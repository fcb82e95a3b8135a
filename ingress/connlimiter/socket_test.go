package connlimiter

import (
	"io"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"golang.org/x/sys/unix"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/ingress/apportioner"
)

var _ = Describe("Sizes of socket buffers", func() {
	var (
		limiter *Limiter
		logs    *observer.ObservedLogs
	)
	BeforeEach(func() {
		shares := apportioner.New(currantwood.GatewaySettings{}).Clients()
		shares.WideConnections = 1
		var core zapcore.Core
		core, logs = observer.New(zap.WarnLevel)
		limiter = New(Options{Name: "test", Shares: shares, Now: time.Now, Logger: zap.New(core), Metrics: metrics.NewRegistry()})
	})
	// connect opens a connection, over which the client sends text before it is accepted.
	connect := func(listener net.Listener, text string) (*conn, net.Conn) {
		client, err := net.Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(client.Close)
		_, err = io.WriteString(client, text)
		Expect(err).NotTo(HaveOccurred())
		accepted, err := listener.Accept()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = accepted.Close() })
		return accepted.(*conn), client
	}
	open := func() net.Listener {
		listener, err := limiter.Open("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		return listener
	}
	sizes := func(c *conn) (b apportioner.Buffers) {
		raw, err := rawConn(c.Conn)
		Expect(err).NotTo(HaveOccurred())
		Expect(control(raw, func(fd int) (err error) {
			if b.Receive, err = unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF); err != nil {
				return err
			}
			b.Send, err = unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF)
			return err
		})).To(Succeed())
		return b
	}
	// unread returns how many bytes a client can send that the process doesn't read.
	unread := func(client net.Conn) (total int) {
		piece := make([]byte, 64<<10)
		for {
			Expect(client.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))).To(Succeed())
			n, err := client.Write(piece)
			if total += n; err != nil {
				return total
			}
		}
	}

	// Guards against connections that hold the kernel's default until a size is set for each,
	// which may be after the client has filled it.
	It("are those of the listener from the first byte of a connection", func() {
		Expect(limiter.options.Shares.Buffers.Bytes()).To(BeNumerically(">", 0))
		c, client := connect(open(), "first")
		Expect(sizes(c)).To(Equal(limiter.options.Shares.Buffers))
		Expect(client.(*net.TCPConn).SetWriteBuffer(4 << 10)).To(Succeed())
		// The client's kernel holds a part of it.
		Expect(unread(client)).To(BeNumerically("<", 128<<10))
	})

	// Guards against wide buffers without a bound, and against ones that stay charged, so that
	// no later connection gets them.
	It("become wide for a bounded number of connections, until these close", func() {
		listener, shares := open(), limiter.options.Shares
		first, _ := connect(listener, "")
		second, _ := connect(listener, "")
		widen := func(c *conn) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.widen()
		}
		for range 3 {
			widen(first)
			widen(second)
		}
		Expect(sizes(first)).To(Equal(shares.WideBuffers))
		Expect(sizes(second)).To(Equal(shares.Buffers))
		Expect(limiter.wide.Load()).To(BeEquivalentTo(1))
		Expect(first.Close()).To(Succeed())
		Expect(first.Close()).NotTo(Succeed())
		widen(first)
		Expect(limiter.wide.Load()).To(BeZero())
		widen(second)
		Expect(sizes(second)).To(Equal(shares.WideBuffers))
		Expect(second.Close()).To(Succeed())
		Expect(limiter.wide.Load()).To(BeZero())
	})

	// Guards against a gateway that doesn't start, and a connection that breaks, on a kernel
	// that refuses a size.
	It("don't prevent listening or a transfer if they can't be set", func() {
		limiter.setOption = func(int, int, int, int) error { return unix.ENOPROTOOPT }
		listener := open()
		Expect(logs.FilterField(zap.String("listener", "test")).Len()).To(Equal(1))
		c, client := connect(listener, "")
		long := make([]byte, 2*writePiece)
		_, err := c.Write(long)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadFull(client, long)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Close()).To(Succeed())
		Expect(limiter.wide.Load()).To(BeZero())
	})

	// Guards against one refused size that leaves the other buffer at the kernel's default.
	It("are set for one direction if the other one can't be", func() {
		limiter.setOption = func(fd, level, option, value int) error {
			if option == unix.SO_RCVBUF {
				return unix.ENOPROTOOPT
			}
			return unix.SetsockoptInt(fd, level, option, value)
		}
		c, _ := connect(open(), "")
		Expect(sizes(c).Send).To(Equal(limiter.options.Shares.Buffers.Send))
	})
})
