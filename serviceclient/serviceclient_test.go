package serviceclient_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/serviceclient"
	"github.com/currantwood/currantwood/standin/service"
)

func payment(key string) currantwood.ServiceCall {
	return currantwood.ServiceCall{
		Method: http.MethodPost, Path: "/pay?fee=3", Body: []byte("amount=3"),
		Header: http.Header{"Idempotency-Key": {key}},
	}
}

// listenOneRequestPerConn responds to the first request on each connection and
// closes the connection when a second one arrives. It counts the requests that it
// read.
func listenOneRequestPerConn(requests *atomic.Int32) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for first := true; ; first = false {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					requests.Add(1)
					if !first {
						return
					}
					_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
				}
			}()
		}
	}()
	return listener
}

var _ = Describe("Call", func() {
	It("passes on a call and its response unchanged", func() {
		server := httptest.NewServer(service.New())
		defer server.Close()
		client, err := serviceclient.New(server.URL)
		Expect(err).NotTo(HaveOccurred())
		response, err := client.Call(context.Background(), payment("k1"))
		Expect(err).NotTo(HaveOccurred())
		var seen service.Response
		Expect(json.Unmarshal(response.Body, &seen)).To(Succeed())
		Expect(seen).To(Equal(service.Response{Run: 1, Method: "POST", Path: "/pay?fee=3", Key: "k1", Body: "amount=3"}))
	})

	DescribeTable("reports that a failed call may have run",
		func(faults service.Faults, dispatched bool, runs int) {
			standin := service.New()
			server := httptest.NewServer(standin)
			defer server.Close()
			defer standin.SetFaults(service.Faults{})
			standin.SetFaults(faults)
			client, _ := serviceclient.New(server.URL)
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			_, err := client.Call(ctx, payment("k1"))
			Expect(err).To(HaveOccurred())
			Expect(errors.Is(err, currantwood.ErrNotDispatched)).To(Equal(!dispatched))
			Expect(standin.Runs("k1")).To(Equal(runs))
		},
		Entry("response lost after the call ran", service.Faults{LoseResponses: 1}, true, 1),
		Entry("service frozen before the call ran", service.Faults{Freeze: true}, true, 0),
	)

	It("returns ErrNotDispatched if nothing listens at the address", func() {
		server := httptest.NewServer(service.New())
		client, _ := serviceclient.New(server.URL)
		server.Close()
		_, err := client.Call(context.Background(), payment("k1"))
		Expect(errors.Is(err, currantwood.ErrNotDispatched)).To(BeTrue())
	})

	It("sends each call that is not repeatable exactly once, even if the server closes reused connections", func() {
		var requests atomic.Int32
		listener := listenOneRequestPerConn(&requests)
		defer listener.Close()
		client, _ := serviceclient.New("http://" + listener.Addr().String())
		for range 3 {
			_, _ = client.Call(context.Background(), payment("k1"))
		}
		Expect(requests.Load()).To(BeEquivalentTo(3))
	})

	It("returns a redirect instead of following it", func() {
		var requests atomic.Int32
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			requests.Add(1)
			http.Redirect(w, r, "/again", http.StatusTemporaryRedirect)
		}))
		defer server.Close()
		client, _ := serviceclient.New(server.URL)
		response, err := client.Call(context.Background(), payment("k1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Status).To(Equal(http.StatusTemporaryRedirect))
		Expect(requests.Load()).To(BeEquivalentTo(1))
	})

	It("returns an error other than ErrNotDispatched for a truncated response", func() {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			_, _ = w.Write([]byte("half"))
		}))
		defer server.Close()
		client, _ := serviceclient.New(server.URL)
		_, err := client.Call(context.Background(), payment("k1"))
		Expect(err).To(HaveOccurred())
		Expect(errors.Is(err, currantwood.ErrNotDispatched)).To(BeFalse())
	})

	// Guards against a response that looks whole although the service stopped within its head.
	It("returns an error other than ErrNotDispatched wherever within the head a response ends", func() {
		const head = "HTTP/1.1 200 OK\r\nX-Note: a\r\nContent-Length: 10\r\n\r\n"
		var sent atomic.Int32
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			_, _ = conn.Write([]byte(head[:sent.Load()]))
			_ = conn.Close()
		}))
		defer server.Close()
		client, _ := serviceclient.New(server.URL)
		for end := range len(head) {
			sent.Store(int32(end))
			_, err := client.Call(context.Background(), payment("k1"))
			Expect(err).To(HaveOccurred(), "%q", head[:end])
			Expect(errors.Is(err, currantwood.ErrNotDispatched)).To(BeFalse())
		}
	})
})
