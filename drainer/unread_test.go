package drainer

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// heldListener accepts a connection, and lets it read, only with a permit, as if the
// process got no processor time until then.
type heldListener struct {
	*net.TCPListener
	accepts, reads chan struct{}
	// acceptTime is how long a connection stays with Accept once the kernel has given it.
	acceptTime time.Duration
	closed     context.Context
	close      context.CancelFunc
}

func (l heldListener) Close() error {
	l.close()
	return l.TCPListener.Close()
}

func (l heldListener) Accept() (net.Conn, error) {
	select {
	case <-l.accepts:
	case <-l.closed.Done():
		return nil, net.ErrClosed
	}
	accepted, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	time.Sleep(l.acceptTime)
	return &heldConn{TCPConn: accepted, reads: l.reads, aborts: make(chan struct{}, 1)}, nil
}

type heldConn struct {
	*net.TCPConn
	reads, aborts chan struct{}
}

func (c *heldConn) Read(p []byte) (int, error) {
	select {
	case <-c.reads:
		return c.TCPConn.Read(p)
	case <-c.aborts:
		return 0, os.ErrDeadlineExceeded
	}
}

// SetReadDeadline ends a Read that waits for a permit if the deadline has passed.
func (c *heldConn) SetReadDeadline(deadline time.Time) error {
	if !deadline.IsZero() && deadline.Before(time.Now()) {
		select {
		case c.aborts <- struct{}{}:
		default:
		}
	}
	return c.TCPConn.SetReadDeadline(deadline)
}

// Answers the report of requests that were cut off without a response during a planned
// stop under load: a request that had been sent was read only after the stop had begun.
var _ = Describe("A shutdown after Wait", func() {
	const lateness = 2 * maxQuietWait
	var (
		held    heldListener
		drained *Drainer
		server  *http.Server
	)

	BeforeEach(func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		closed, closeListener := context.WithCancel(context.Background())
		held = heldListener{listener.(*net.TCPListener), make(chan struct{}, 10), make(chan struct{}, 10), 60 * time.Millisecond, closed, closeListener}
		drained = New()
		server = &http.Server{ConnState: drained.NoteState, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			drained.NoteRequest(time.Now())
			w.WriteHeader(http.StatusAccepted)
		})}
		go func() { _ = server.Serve(drained.Listen(held)) }()
		DeferCleanup(server.Close)
	})

	dial := func() net.Conn {
		client, err := net.Dial("tcp", held.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(client.Close)
		return client
	}
	send := func(client net.Conn, text string) {
		_, err := fmt.Fprint(client, text)
		Expect(err).NotTo(HaveOccurred())
	}
	expectResponse := func(client net.Conn) {
		Expect(client.SetReadDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
		response, err := http.ReadResponse(bufio.NewReader(client), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusAccepted))
	}
	shutDown := func() {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		drained.Wait(ctx, time.Now)
		Expect(server.Shutdown(ctx)).To(Succeed())
	}
	const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

	It("cuts off no request that is read late from an idle connection", func() {
		client := dial()
		held.accepts <- struct{}{}
		send(client, request)
		held.reads <- struct{}{}
		expectResponse(client)
		send(client, request)
		time.AfterFunc(lateness, func() { held.reads <- struct{}{} })
		shutDown()
		expectResponse(client)
	})

	It("cuts off no request on a connection that is accepted late", func() {
		client := dial()
		send(client, request)
		held.reads <- struct{}{}
		time.AfterFunc(lateness, func() { held.accepts <- struct{}{} })
		shutDown()
		expectResponse(client)
	})

	It("cuts off no request whose second half arrives late", func() {
		client := dial()
		held.accepts <- struct{}{}
		send(client, request)
		held.reads <- struct{}{}
		expectResponse(client)
		for range 3 {
			held.reads <- struct{}{}
		}
		send(client, request[:10])
		Eventually(drained.HasUnread).Should(BeTrue())
		time.AfterFunc(lateness, func() { _, _ = fmt.Fprint(client, request[10:]) })
		shutDown()
		expectResponse(client)
	})

	It("doesn't wait for idle connections", func() {
		client := dial()
		held.accepts <- struct{}{}
		send(client, request)
		held.reads <- struct{}{}
		expectResponse(client)
		began := time.Now()
		shutDown()
		Expect(time.Since(began)).To(BeNumerically("<", maxQuietWait))
	})
})
