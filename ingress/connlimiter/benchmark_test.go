package connlimiter

import (
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
)

// BenchmarkRequest measures an ordinary request over loopback, on a connection that is
// reused, without and with a Limiter. The limited one must not be slower by more than 5%.
func BenchmarkRequest(b *testing.B) {
	for _, limited := range []bool{false, true} {
		name := "plain"
		if limited {
			name = "limited"
		}
		b.Run(name, func(b *testing.B) { benchmarkRequests(b, limited) })
	}
}

func benchmarkRequests(b *testing.B, limited bool) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "answer")
	})}
	address := listener.Addr().String()
	if limited {
		l := New(Options{
			Logger: zap.NewNop(), Metrics: metrics.NewRegistry(), Now: time.Now,
			Shares: apportioner.New(currantwood.GatewaySettings{}).Clients(),
		})
		server.Handler, server.ConnState, server.ConnContext = l.Handler(server.Handler), l.NoteState, l.ConnContext
		listener = l.Listen(listener)
	}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	body := strings.Repeat("prompt ", 600)
	client := &http.Client{Transport: &http.Transport{}}
	for b.Loop() {
		request, _ := http.NewRequest(http.MethodPost, "http://"+address+"/book/1", strings.NewReader(body))
		for _, name := range []string{"X-Request-Id", "X-Api-Key", "X-Deadline-Ms", "X-Token-Counts", "X-Model"} {
			request.Header.Set(name, "value-of-"+name)
		}
		response, err := client.Do(request)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
}
