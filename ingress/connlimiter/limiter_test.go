package connlimiter

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/drainer"
	"github.com/currantwood/currantwood/ingress/apportioner"
)

const (
	get      = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	halfHead = "GET / HTTP/1.1\r\nHost: a\r\n"
)

// limitedServer is a server with a Limiter whose clock the specs set.
type limitedServer struct {
	*Limiter
	address string
	// ahead is what the clock is ahead of the time of the machine.
	ahead atomic.Int64
	// stoppedAt is where that time stands still, as a UnixNano; 0 lets it pass.
	stoppedAt atomic.Int64
	// handled counts the requests that reached the handler.
	handled atomic.Int32
	// block lets requests for /block wait until it is closed.
	block chan struct{}
}

func newLimitedServer(connections int, headBytes int64) *limitedServer {
	s := &limitedServer{block: make(chan struct{})}
	s.Limiter = New(Options{
		Name: "test", Logger: zap.NewNop(), Metrics: metrics.NewRegistry(),
		Now: s.now,
		Shares: apportioner.Shares{Connections: connections, HeadBytes: headBytes, Limits: currantwood.ConnectionLimits{
			HeadBytes: 4000, HeadFields: 50, HeadAllowance: time.Minute, BodyAllowance: time.Minute, WriteAllowance: time.Minute, BytesPerSecond: 100,
		}},
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s.address = listener.Addr().String()
	// Package drainer wraps the connections of the listener for clients once more.
	drained := drainer.New()
	server := &http.Server{Handler: s.Handler(http.HandlerFunc(s.serve)), ConnContext: s.ConnContext, ReadHeaderTimeout: time.Minute}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		drained.NoteState(c, state)
		s.NoteState(c, state)
	}
	go func() { _ = server.Serve(drained.Listen(s.Listen(listener))) }()
	DeferCleanup(server.Close)
	return s
}

func (s *limitedServer) now() time.Time {
	now := time.Now()
	if stopped := s.stoppedAt.Load(); stopped > 0 {
		now = time.Unix(0, stopped)
	}
	return now.Add(time.Duration(s.ahead.Load()))
}

// serve answers with 200, or with 408 if the reading of the body was ended.
func (s *limitedServer) serve(w http.ResponseWriter, r *http.Request) {
	s.handled.Add(1)
	switch r.URL.Path {
	case "/block":
		<-s.block
	case "/long":
		_, _ = io.CopyN(w, zeros{}, 64<<20)
		return
	}
	if _, err := io.ReadAll(r.Body); errors.Is(err, os.ErrDeadlineExceeded) {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusRequestTimeout)
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// pass lets time pass without a gap between two sweeps.
func (s *limitedServer) pass(d time.Duration) {
	for ; d > 0; d -= maxSweepGap / 2 {
		s.Sweep()
		s.ahead.Add(int64(maxSweepGap / 2))
	}
	s.Sweep()
}

// client is a connection to a server.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func (s *limitedServer) dial(text string) client {
	c, err := net.Dial("tcp", s.address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	Expect(c.SetDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
	opened := client{c, bufio.NewReader(c)}
	opened.send(text)
	return opened
}

func (c client) send(text string) {
	_, err := io.WriteString(c, text)
	Expect(err).NotTo(HaveOccurred())
}

func (c client) status() int {
	response, err := http.ReadResponse(c.reader, nil)
	Expect(err).NotTo(HaveOccurred())
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// isClosed reports whether the server has closed the connection.
func (c client) isClosed() bool {
	_, err := c.reader.Peek(1)
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

func fields(count int) string {
	var b strings.Builder
	for i := range count {
		fmt.Fprintf(&b, "a%d:\r\n", i)
	}
	return b.String()
}

var _ = Describe("Limiter", func() {
	// Guards against heads of legal size whose many short fields take a multiple of it.
	It("refuses a head with too many fields or bytes before a handler sees it", func() {
		s := newLimitedServer(10, 1<<30)
		Expect(s.dial("GET / HTTP/1.1\r\n" + fields(60)).status()).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
		Expect(s.dial("GET / HTTP/1.1\r\na: " + strings.Repeat("b", 5000)).status()).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
		Expect(s.handled.Load()).To(BeZero())
		Expect(s.counters[headTooLarge].Count()).To(BeEquivalentTo(2))
		Expect(s.dial("GET / HTTP/1.1\r\nHost: a\r\n" + fields(40) + "\r\n").status()).To(Equal(http.StatusOK))
	})

	// Guards against bytes of a body, or of the next request, that count as a head.
	It("serves requests one after the other on one connection, with bodies longer than a head", func() {
		s := newLimitedServer(10, 1<<30)
		c := s.dial(get)
		Expect(c.status()).To(Equal(http.StatusOK))
		post := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 20000\r\n\r\n" + strings.Repeat("\n", 20_000)
		c.send(post + get + post + get)
		for range 4 {
			Expect(c.status()).To(Equal(http.StatusOK))
		}
		Eventually(s.headBytes.Load).Should(BeZero())
	})

	It("ends a head that stalls with 408, but not one that makes progress", func() {
		s := newLimitedServer(10, 1<<30)
		stalled := s.dial(halfHead)
		Eventually(s.headBytes.Load).Should(BeNumerically(">", 0))
		s.pass(50 * time.Second)
		progressing := s.dial(halfHead)
		Eventually(s.count).Should(Equal(2))
		s.pass(15 * time.Second)
		Expect(stalled.status()).To(Equal(http.StatusRequestTimeout))
		progressing.send("\r\n")
		Expect(progressing.status()).To(Equal(http.StatusOK))
		Expect(s.counters[headStalled].Count()).To(BeEquivalentTo(1))
	})

	It("lets the handler answer when a body stalls", func() {
		s := newLimitedServer(10, 1<<30)
		c := s.dial("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nhalf")
		Eventually(s.handled.Load).Should(BeEquivalentTo(1))
		s.pass(61 * time.Second)
		Expect(c.status()).To(Equal(http.StatusRequestTimeout))
		Expect(s.counters[bodyStalled].Count()).To(BeEquivalentTo(1))
	})

	// Guards against a frozen process that ends all connections when it goes on.
	It("doesn't count the time in which it wasn't called", func() {
		s := newLimitedServer(10, 1<<30)
		c := s.dial(halfHead)
		Eventually(s.headBytes.Load).Should(BeNumerically(">", 0))
		s.Sweep()
		s.ahead.Add(int64(time.Hour))
		s.Sweep()
		c.send("\r\n")
		Expect(c.status()).To(Equal(http.StatusOK))
	})

	It("drops an unfinished head for a new connection if it is full, and no running request", func() {
		s := newLimitedServer(2, 1<<30)
		running := s.dial("GET /block HTTP/1.1\r\nHost: a\r\n\r\n")
		Eventually(s.handled.Load).Should(BeEquivalentTo(1))
		charged := s.headBytes.Load()
		unfinished := s.dial(halfHead)
		Eventually(s.headBytes.Load).Should(BeNumerically(">", charged))
		Expect(s.dial(get).status()).To(Equal(http.StatusOK))
		Expect(unfinished.status()).To(Equal(http.StatusServiceUnavailable))
		Expect(s.counters[connectionDropped].Count()).To(BeEquivalentTo(1))
		close(s.block)
		Expect(running.status()).To(Equal(http.StatusOK))
	})

	It("refuses a connection if all others run requests", func() {
		s := newLimitedServer(1, 1<<30)
		running := s.dial("GET /block HTTP/1.1\r\nHost: a\r\n\r\n")
		Eventually(s.handled.Load).Should(BeEquivalentTo(1))
		Expect(s.dial("").status()).To(Equal(http.StatusServiceUnavailable))
		close(s.block)
		Expect(running.status()).To(Equal(http.StatusOK))
	})

	// Guards against heads that net/http reads together with the request before, so that
	// they aren't counted as they arrive.
	It("refuses a request whose head finds no memory, also if it was pipelined", func() {
		s := newLimitedServer(10, 45*fieldBytes)
		running := s.dial("GET /block HTTP/1.1\r\nHost: a\r\n" + fields(30) + "\r\n")
		Eventually(s.handled.Load).Should(BeEquivalentTo(1))
		c := s.dial(get + "GET / HTTP/1.1\r\nHost: a\r\n" + fields(30) + "\r\n")
		Expect(c.status()).To(Equal(http.StatusOK))
		Expect(c.status()).To(Equal(http.StatusServiceUnavailable))
		Expect(s.handled.Load()).To(BeEquivalentTo(2))
		close(s.block)
		Expect(running.status()).To(Equal(http.StatusOK))
	})

	// Guards against a graceful shutdown that cuts off requests which it doesn't see.
	It("lets package drainer see connections that aren't accepted and requests that aren't read", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		s := newLimitedServer(10, 1<<30)
		drained := drainer.New()
		limited := drained.Listen(s.Listen(listener))
		Expect(drained.HasUnread()).To(BeFalse())
		s.address = listener.Addr().String()
		s.dial(get)
		Eventually(drained.HasUnread).Should(BeTrue())
		accepted, err := limited.Accept()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(accepted.Close)
		Expect(drained.HasUnread()).To(BeFalse())
		drained.NoteState(accepted, http.StateNew)
		Eventually(drained.HasUnread).Should(BeTrue())
	})

	It("gives up a stalled body for another, one at a time, and none that makes progress", func() {
		s := newLimitedServer(10, 1<<30)
		// So that reclaimPause doesn't pass.
		s.stoppedAt.Store(time.Now().UnixNano())
		const half = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nhalf"
		first, second := s.dial(half), s.dial(half)
		Eventually(s.handled.Load).Should(BeEquivalentTo(2))
		Expect(s.ReclaimBody()).To(BeFalse())
		s.ahead.Add(int64(5 * time.Second))
		Expect(s.ReclaimBody()).To(BeTrue())
		Expect(s.ReclaimBody()).To(BeTrue())
		Expect(s.counters[bodyDropped].Count()).To(BeEquivalentTo(1))
		s.ahead.Add(int64(reclaimPause))
		Expect(s.ReclaimBody()).To(BeTrue())
		Expect(first.status()).To(Equal(http.StatusRequestTimeout))
		Expect(second.status()).To(Equal(http.StatusRequestTimeout))
	})

	It("ends a response whose client doesn't read, and not one that is read slowly", func() {
		s := newLimitedServer(10, 1<<30)
		stopped := s.dial("GET /long HTTP/1.1\r\nHost: a\r\n\r\n")
		slow := s.dial("GET /long HTTP/1.1\r\nHost: a\r\n\r\n")
		Eventually(s.handled.Load).Should(BeEquivalentTo(2))
		for range 8 {
			// Far more than the sockets hold.
			_, err := io.CopyN(io.Discard, slow.reader, 8<<20-1000)
			Expect(err).NotTo(HaveOccurred())
			s.pass(15 * time.Second)
		}
		Expect(slow.readRest()).To(Succeed())
		Expect(s.counters[writeStalled].Count()).To(BeEquivalentTo(1))
		_, _ = io.Copy(io.Discard, stopped.reader)
		Expect(stopped.isClosed()).To(BeTrue())
	})
})

// readRest reads what is left of a long response.
func (c client) readRest() error {
	_, err := io.Copy(io.Discard, io.LimitReader(c.reader, 7000))
	return err
}
