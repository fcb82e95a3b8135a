package connkeeper

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood/memorykeeper"
)

// unframedText is a response without a length, whose end is that of its connection.
const unframedText = "HTTP/1.1 200 OK\r\nId: r\r\n\r\nthe body"

// exchangeEarly sends a body that is longer than the buffers on the way to an upstream that
// responds before it has read it, and then ends the connection as end does. It reads the
// response only once the write of the body has failed, or a moment later.
func exchangeEarly(end func(*net.TCPConn)) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, unframedText)
		time.Sleep(20 * time.Millisecond)
		end(conn.(*net.TCPConn))
	}()
	p := New(time.Now, memorykeeper.New(0, 1<<20, nil))
	call := &Call{Upstream: "u", Address: listener.Addr().String(), Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"Id": {"r"}}, Body: make([]byte, 32<<20), ID: "r"}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	x, err := p.Start(ctx, call, testCoder{})
	Expect(err).NotTo(HaveOccurred())
	defer x.Abort()
	time.Sleep(100 * time.Millisecond)
	body, err := io.ReadAll(x.Body)
	return string(body), err
}

var _ = Describe("A response without a length that comes before the request was written", func() {
	// Guards against part of a response that looks whole: the write takes the error of the
	// connection, and the read then finds its end.
	It("isn't whole if the connection is reset", func() {
		_, err := exchangeEarly(func(c *net.TCPConn) { _ = c.SetLinger(0) })
		Expect(err).To(HaveOccurred())
	})

	// Guards against a fix that refuses upstreams which respond early and end their response
	// in order.
	It("is whole if its end comes first", func() {
		body, err := exchangeEarly(func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(50 * time.Millisecond)
			_ = c.SetLinger(0)
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("the body"))
	})

	It("is whole if its end comes while the upstream reads on", func() {
		body, err := exchangeEarly(func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("the body"))
	})
})
