package connlimiter

import (
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/drainer"
	"github.com/currantwood/currantwood/ingress/apportioner"
)

// BenchmarkRequest compares the time of an ordinary request without and with a Limiter. It
// covers a POST with a short body over loopback, on a connection that is reused: the client,
// net/http, the wrappers of package drainer, which a gateway's clients have, too, and a handler
// that reads the body. It leaves out the gateway's own work, the way to an upstream and the
// opening of connections. The two servers take turns, as the load of the machine changes. The
// median with a Limiter must not be more than 5% slower.
func BenchmarkRequest(b *testing.B) {
	plain, limited := newBenchmarkServer(b, false), newBenchmarkServer(b, true)
	var plainTimes, limitedTimes []time.Duration
	for i := 0; b.Loop(); i++ {
		// Each goes first in turn: what is done first may leave caches warm.
		if i%2 == 0 {
			plainTimes = append(plainTimes, timeRequest(b, plain))
			limitedTimes = append(limitedTimes, timeRequest(b, limited))
		} else {
			limitedTimes = append(limitedTimes, timeRequest(b, limited))
			plainTimes = append(plainTimes, timeRequest(b, plain))
		}
	}
	plainMedian, limitedMedian := median(plainTimes), median(limitedTimes)
	b.ReportMetric(float64(plainMedian), "plain-ns")
	b.ReportMetric(float64(limitedMedian), "limited-ns")
	b.ReportMetric(100*(float64(limitedMedian)/float64(plainMedian)-1), "slower-%")
}

func median(times []time.Duration) time.Duration {
	slices.Sort(times)
	return times[len(times)/2]
}

// newBenchmarkServer starts a server and returns its address.
func newBenchmarkServer(b *testing.B, limited bool) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	drained := drainer.New()
	server := &http.Server{ReadHeaderTimeout: time.Minute, ConnState: drained.NoteState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "answer")
	})}
	address := listener.Addr().String()
	if limited {
		l := New(Options{
			Logger: zap.NewNop(), Metrics: metrics.NewRegistry(), Now: time.Now,
			Shares: apportioner.New(currantwood.GatewaySettings{}).Clients(),
		})
		server.Handler, server.ConnContext = l.Handler(server.Handler), l.ConnContext
		server.ConnState = func(c net.Conn, state http.ConnState) {
			drained.NoteState(c, state)
			l.NoteState(c, state)
		}
		listener = l.Listen(listener)
	}
	listener = drained.Listen(listener)
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Close() })
	return address
}

var benchmarkBody = strings.Repeat("prompt ", 600)

// timeRequest sends an ordinary request and returns how long it took.
func timeRequest(b *testing.B, address string) time.Duration {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/book/1", strings.NewReader(benchmarkBody))
	if err != nil {
		b.Fatal(err)
	}
	for _, name := range []string{"X-Request-Id", "X-Api-Key", "X-Deadline-Ms", "X-Token-Counts", "X-Model"} {
		request.Header.Set(name, "value-of-"+name)
	}
	began := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return time.Since(began)
}
