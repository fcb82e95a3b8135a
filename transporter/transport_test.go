package transporter

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood/connkeeper"
	"github.com/currantwood/currantwood/memorykeeper"
	"github.com/currantwood/currantwood/platform/headercoder"
)

// scriptedServer writes texts in response to the requests on each connection, and then closes
// it.
type scriptedServer struct {
	address string
	// requests receives what arrives: the number of the connection and the request's line.
	requests chan string
}

func newScriptedServer(texts ...string) *scriptedServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	s := &scriptedServer{address: listener.Addr().String(), requests: make(chan string, 100)}
	go func() {
		for number := 1; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, number, texts)
		}
	}()
	return s
}

func (s *scriptedServer) serve(conn net.Conn, number int, texts []string) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for _, text := range texts {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(request.Body)
		s.requests <- strings.Join([]string{string(rune('0' + number)), request.Method, request.RequestURI, string(body)}, " ")
		_, _ = io.WriteString(conn, text)
	}
}

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Note: a\r\n\r\nok"

var _ = Describe("Transport", func() {
	newClient := func(maxIdle int) *http.Client {
		return &http.Client{Transport: New(Options{Now: time.Now, Coder: headercoder.Coder{}, Memory: memorykeeper.New(0, 8<<20, nil), MaxIdle: maxIdle})}
	}
	get := func(client *http.Client, address string) (string, error) {
		response, err := client.Get("http://" + address + "/a?b=c")
		if err != nil {
			return "", err
		}
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		return string(body), err
	}

	It("sends requests over one connection", func() {
		s := newScriptedServer(ok, ok)
		client := newClient(1)
		for range 2 {
			Expect(get(client, s.address)).To(Equal("ok"))
			Expect(<-s.requests).To(Equal("1 GET /a?b=c "))
		}
	})

	It("sends each request over a connection of its own without idle ones", func() {
		s := newScriptedServer(ok, ok)
		client := newClient(0)
		for _, number := range []string{"1", "2"} {
			Expect(get(client, s.address)).To(Equal("ok"))
			Expect(<-s.requests).To(HavePrefix(number + " "))
		}
	})

	It("sends a GET request once more if its kept connection turns out to be closed", func() {
		s := newScriptedServer(ok, "")
		client := newClient(1)
		Expect(get(client, s.address)).To(Equal("ok"))
		Expect(get(client, s.address)).To(Equal("ok"))
		Expect([]string{<-s.requests, <-s.requests, <-s.requests}).To(Equal([]string{"1 GET /a?b=c ", "1 GET /a?b=c ", "2 GET /a?b=c "}))
	})

	// Guards against an order that is carried out twice.
	It("sends any other request only once", func() {
		s := newScriptedServer(ok, "")
		client := newClient(1)
		Expect(get(client, s.address)).To(Equal("ok"))
		_, err := client.Post("http://"+s.address+"/", "text/plain", strings.NewReader("order"))
		Expect(err).To(HaveOccurred())
		Expect([]string{<-s.requests, <-s.requests}).To(Equal([]string{"1 GET /a?b=c ", "1 POST / order"}))
		Consistently(s.requests, "50ms").ShouldNot(Receive())
	})

	DescribeTable("fails for what isn't a whole response",
		func(text string) {
			_, err := get(newClient(1), newScriptedServer(text).address)
			Expect(err).To(HaveOccurred())
		},
		Entry("a status of 000", "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok"),
		Entry("a blank in the name of a field", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok"),
		Entry("a short body", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok"),
		Entry("a head without end", "HTTP/1.1 200 OK\r\n"+strings.Repeat("X-Fill: a\r\n", 20000)),
	)

	It("fails with the error of the context", func() {
		s := newScriptedServer("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok", "")
		ctx, cancel := context.WithCancel(context.Background())
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.address, nil)
		Expect(err).NotTo(HaveOccurred())
		response, err := newClient(1).Do(request)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		cancel()
		_, err = io.ReadAll(response.Body)
		Expect(err).To(MatchError(context.Canceled))
	})

	It("tells that nothing was sent", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(listener.Close()).To(Succeed())
		_, err = get(newClient(1), listener.Addr().String())
		Expect(err).To(MatchError(connkeeper.ErrUnsent))
	})
})
