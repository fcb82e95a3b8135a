package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/ingress/apportioner"
	"github.com/currantwood/currantwood/ingress/connlimiter"
)

// BenchmarkClientWriter measures an event of a stream to a client that keeps up, both ends of the
// connection included, with and without the check whether the write would block.
func BenchmarkClientWriter(b *testing.B) {
	for _, checked := range []bool{false, true} {
		name := map[bool]string{false: "unchecked", true: "checked"}[checked]
		b.Run(name, func(b *testing.B) {
			limiter := connlimiter.New(connlimiter.Options{Name: "test", Shares: apportioner.New(currantwood.GatewaySettings{}).Clients(), Now: time.Now, Logger: zap.NewNop(), Metrics: metrics.NewRegistry()})
			options := Options{Logger: zap.NewNop(), Now: time.Now, Metrics: metrics.NewRegistry()}
			buffers := newStreamBuffers(options)
			event := []byte("id: 1\ndata: " + strings.Repeat("x", 60) + "\n\n")
			handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				out := clientWriter{w: w, buffers: buffers, cancel: func() {}}
				if checked {
					out.writable = func() bool { return limiter.Writable(r) }
				}
				for range b.N {
					if err := out.write(context.Background(), event); err != nil {
						b.Error(err)
						return
					}
				}
				if err := out.drain(context.Background()); err != nil {
					b.Error(err)
				}
			})
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			server := &http.Server{Handler: limiter.Handler(handler), ConnContext: limiter.ConnContext, ReadHeaderTimeout: time.Minute}
			go func() { _ = server.Serve(limiter.Listen(listener)) }()
			b.Cleanup(func() { _ = server.Close() })
			b.ReportAllocs()
			b.ResetTimer()
			response, err := http.Get("http://" + listener.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		})
	}
}
