package connlimiter

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/ingress/apportioner"
)

// openConnection returns a limited connection, a request that arrived over it, and its client.
func openConnection(t testing.TB) (*conn, *http.Request, net.Conn) {
	l := New(Options{Name: "test", Shares: apportioner.New(currantwood.GatewaySettings{}).Clients(), Now: time.Now, Logger: zap.NewNop(), Metrics: metrics.NewRegistry()})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = accepted.Close() })
	c := newConn(accepted, l)
	request, err := http.NewRequestWithContext(context.WithValue(context.Background(), connKey{}, c), http.MethodGet, "/", nil)
	if err != nil {
		t.Fatal(err)
	}
	return c, request, client
}

// TestWritable guards against writes that block while the connection counts as writable, and
// against clients that keep up and count as slow.
func TestWritable(t *testing.T) {
	g := NewWithT(t)
	c, request, client := openConnection(t)
	piece := []byte(strings.Repeat("x", 4<<10))
	written := 0
	for c.limiter.Writable(request) {
		g.Expect(c.SetWriteDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		n, err := c.Write(piece)
		g.Expect(err).NotTo(HaveOccurred())
		written += n
	}
	g.Expect(written).To(BeNumerically(">", 0))
	_, err := io.CopyN(io.Discard, client, int64(written))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(func() bool { return c.limiter.Writable(request) }, "2s", "5ms").Should(BeTrue())
}

// TestWritableOfOther guards against streams that are never written directly where the connection
// isn't known.
func TestWritableOfOther(t *testing.T) {
	request, err := http.NewRequest(http.MethodGet, "/", nil)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	NewWithT(t).Expect((&Limiter{}).Writable(request)).To(BeTrue())
}

// BenchmarkWritable measures what the check adds to each event of a stream.
func BenchmarkWritable(b *testing.B) {
	c, request, _ := openConnection(b)
	b.ReportAllocs()
	for b.Loop() {
		if !c.limiter.Writable(request) {
			b.Fatal("not writable")
		}
	}
}

// BenchmarkWrite measures the write of an event, for comparison.
func BenchmarkWrite(b *testing.B) {
	c, _, client := openConnection(b)
	go func() { _, _ = io.Copy(io.Discard, client) }()
	event := []byte(strings.Repeat("x", 60))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Write(event); err != nil {
			b.Fatal(err)
		}
	}
}
