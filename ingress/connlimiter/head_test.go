package connlimiter

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/ingress/apportioner"
	"github.com/currantwood/currantwood/ingress/victimpicker"
)

var _ = Describe("Limiter", func() {
	// Guards against a head that isn't counted, as an empty line before it, which net/http
	// skips after a POST, is taken for its end.
	It("refuses a head with too many fields after an empty line", func() {
		s := newLimitedServer(10, 1<<30)
		c := s.dial("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nb")
		Expect(c.status()).To(Equal(http.StatusOK))
		c.send("\r\nGET / HTTP/1.1\r\nHost: a\r\n" + fields(60) + "\r\n")
		Expect(c.status()).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
	})

	// Guards against a head that isn't counted, as the line end at which net/http's buffer was
	// cut off is taken for the end of the head.
	It("refuses a pipelined head with too many fields that is cut off at a line end", func() {
		s := newLimitedServer(10, 1<<30)
		c := s.dial(get + "GET / HTTP/1.1\r\nHost: a")
		Expect(c.status()).To(Equal(http.StatusOK))
		c.send("\r\n" + fields(60) + "\r\n")
		Expect(c.status()).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
	})

	// Guards against fields that are parsed without being charged, as they had arrived with the
	// request before, and against a connection that counts as idle meanwhile.
	DescribeTable("charges for a part of a head that arrives with the request before", func(first string) {
		s := newLimitedServer(10, 1<<30)
		c := s.dial(first + "GET / HTTP/1.1\r\nHost: a\r\n" + fields(40))
		Expect(c.status()).To(Equal(http.StatusOK))
		Eventually(s.headBytes.Load).Should(BeNumerically(">=", 41*fieldBytes))
		s.pass(61 * time.Second)
		Expect(s.counters[headStalled].Count()).To(BeEquivalentTo(1))
		Expect(s.headBytes.Load()).To(BeZero())
	},
		Entry("without a body", get),
		Entry("with a body", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"),
		Entry("with a body in chunks", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"),
		Entry("two of them", get+get),
	)

	// Guards against a connection that is ended as a stalled head because its client ends a body
	// with an empty line, as old clients do.
	It("takes a connection for idle after an empty line", func() {
		s := newLimitedServer(10, 1<<30)
		c := s.dial("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nb\r\n")
		Expect(c.status()).To(Equal(http.StatusOK))
		// The client may have the response before the server's write has returned, and that
		// write would count as stalled.
		Eventually(func() victimpicker.Phase {
			candidate, _ := s.connections()[0].candidate(s.now())
			return candidate.Phase
		}).Should(Equal(victimpicker.Idle))
		s.pass(61 * time.Second)
		c.send(get)
		Expect(c.status()).To(Equal(http.StatusOK))
	})

	// Guards against a crowd that connects while the process is frozen, and may then stall for
	// as long again.
	It("ends a head that stalls if the connection was accepted after a gap", func() {
		s := newLimitedServer(10, 1<<30)
		s.Sweep()
		s.ahead.Add(int64(time.Hour))
		stalled := s.dial(halfHead)
		Eventually(s.headBytes.Load).Should(BeNumerically(">", 0))
		s.pass(61 * time.Second)
		Expect(s.counters[headStalled].Count()).To(BeEquivalentTo(1))
		Expect(stalled.status()).To(Equal(http.StatusRequestTimeout))
	})

	// Guards against a head that is refused although there is room for it, as the connection
	// that it would displace was dropped for another head at the same time.
	It("admits all heads that have room once one connection is dropped", func() {
		const heads = 8
		for range 200 {
			s := newIdleLimiter(heads*100, heads+1)
			s.hold(heads * 100)
			var refused atomic.Int32
			var running sync.WaitGroup
			begin := make(chan struct{})
			for range heads {
				running.Go(func() {
					<-begin
					if !s.addHead(s.options.Now(), 100) {
						refused.Add(1)
					}
				})
			}
			close(begin)
			running.Wait()
			Expect(refused.Load()).To(BeZero())
		}
	})
})

// idleLimiter is a Limiter without a server.
type idleLimiter struct{ *Limiter }

func newIdleLimiter(headBytes int64, connections int) idleLimiter {
	return idleLimiter{New(Options{Logger: zap.NewNop(), Metrics: metrics.NewRegistry(), Now: time.Now, Shares: apportioner.Shares{
		Connections: connections, HeadBytes: headBytes,
		Limits: currantwood.ConnectionLimits{HeadAllowance: time.Minute, BytesPerSecond: 100},
	}})}
}

// hold adds a connection whose unfinished head takes memory.
func (l idleLimiter) hold(headBytes int64) {
	accepted, client := net.Pipe()
	DeferCleanup(client.Close)
	c := newConn(accepted, l.Limiter)
	Expect(l.admit(c)).To(BeTrue())
	c.headBytes = headBytes
	Expect(l.addHead(l.options.Now(), headBytes)).To(BeTrue())
}
